"""Log events of the processes that run on the platform."""

from __future__ import annotations

from typing import Final

EVENTS: Final = {
    "call_refused": "a call was refused early: no settings were read yet, or the view is too old",
    "cancellation_answered": "a caller's cancellation was answered",
    "claim_not_confirmed": "a claim of ownership did not win",
    "configuration_applied": "a newer version of the operators' settings is in force here",
    "connection_refused": "a client was refused or closed by the limits of a port, with the reason",
    "dependency_lost": "no good answer of a stream of the log for a second",
    "dependency_regained": "the stream answers again",
    "end_without_seat": "a worker listed the end of a run that the owner does not know",
    "evacuation_began": "a failure domain gets no work",
    "evacuation_ended": "a failure domain gets work again",
    "handler_fault": "a request ended in a fault of the program",
    "interference_dropped": "two queues are not kept apart any more (`reason`)",
    "interference_judged": "tasks of a queue are slower beside another queue; they are kept apart",
    "job_closed": "nothing of a job is started any more",
    "job_complete": "all tasks of a job are done",
    "job_failed": "a task or gang failed as often as its queue allows, or crashes its workers",
    "job_set_aside": "planning a job caused a fault; it is not placed, other jobs are",
    "job_taken": "an owner took a job from the log",
    "log_reachable": "the log serves this VM again",
    "log_unreachable": "the log does not serve this VM, calls go through other VMs",
    "metrics_unavailable": "the port for metrics is taken; the ready address serves them too",
    "owner_append_delayed": "an append of the owner takes longer than a second",
    "owner_began": "this VM owns scheduling",
    "owner_ended": "this VM does not own scheduling any more",
    "owner_fault": "a fault of the program; the failed action is skipped or tried again",
    "owner_fenced": "a worker or the log knows a newer owner",
    "owner_superseded": "the log has a newer claim",
    "ownership_ended": "how long an ownership lasted",
    "pages_needed": "the progress of a job outgrew a record; the VM claims anew to store pages",
    "polls_paced": "the fleet is large, so polls of workers wait for their turn",
    "polls_throttled": "polls of workers with tasks are late, or do not wait for ends",
    "read_fault": "reading a stream of the log caused a fault of the program; it is read again",
    "record_fault": "applying a record caused a fault of the program; the record is skipped",
    "record_ignored": "a record could not be read or is of no known kind",
    "record_rejected": "the log does not take a record of the owner, which goes on without it",
    "release_failed": "a planned stop could not release the ownership",
    "reload_refused": "a changed settings file could not be read",
    "reloaded": "a changed settings file was read",
    "retry_delayed": "a failed task or gang waits, since workers fail what they start",
    "rows_ignored": "rows of a worker's list, or parts of them, could not be read; the others hold",
    "share_order_began": (
        "a band of waiting work is ordered by the shares of customers (`place`, `cause`)"
    ),
    "share_order_ended": (
        "capacity suffices for a band again, its order is that of the latest starts"
    ),
    "start_after_notice": "a run may have begun after its worker said that it drains",
    "start_unanswered": "a start brought no answer and is sent again",
    "started": "the process serves",
    "stopped": "the process ends",
    "stopping": "the process was told to stop",
    "stranger_ended": "a worker listed the end of a run with a strange name",
    "stray_stopped": "a run that nobody wants is stopped",
    "stream_gap": "records of a stream are gone, it is read anew",
    "stream_loaded": "the newest records of a stream were read",
    "submission_answered": "a caller's job was accepted, refused or left open",
    "task_ended": "a run ended, with its end and how that is known",
    "task_started": "a worker acknowledged or listed a run",
    "unit_loss_cleared": "a loss of a task or gang has another explanation and does not count",
    "unit_lost": "a task or gang was lost with its worker, which it may have crashed",
    "unit_placed": "a task or gang got its workers",
    "unit_preempted": "a task or gang makes way for an urgent job",
    "unit_stopping": "runs of a task or gang are stopped",
    "unit_waits": (
        "a task or gang found no room, or waits for its customer's quota or for capacity that is"
        " kept for urgent work (`reason`)"
    ),
    "worker_born_again": "another life of a worker answers",
    "worker_entry_changed": "a worker came, drains or was born again",
    "worker_entry_outdated": "a worker's report was stored after a newer one and does not count",
    "worker_entry_removed": "the platform's list dropped a worker",
    "worker_listed": "a worker told its runs to this owner for the first time",
    "worker_lost": "a worker is taken for gone",
    "worker_paused": "a worker gets no work for some seconds",
    "worker_speed_learned": "a worker proved to be faster, slower or as fast as usual, for good",
}
"""Meaning by event name; a test compares it with the code and with the operators' page."""

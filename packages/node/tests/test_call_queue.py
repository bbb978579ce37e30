"""Tests of calls to workers that wait while as many as allowed are in flight."""

from __future__ import annotations

import asyncio

from zinniaweir.node.call_queue import Call, CallQueue

MAX_IN_FLIGHT = 3


def test_calls_are_sent_in_order_and_a_few_at_a_time() -> None:
    """Guards against thousands of calls at once, and against one that is sent twice at a time."""
    begun: list[int] = []
    gate = asyncio.Event()

    async def call(number: int) -> None:
        begun.append(number)
        await gate.wait()

    def begin(number: int) -> Call | None:
        return None if number == 1 else call(number)

    async def work() -> None:
        queue = CallQueue(max_in_flight=MAX_IN_FLIGHT, spawn=asyncio.create_task)
        for number in (0, 1, 2, 0, 3, 4, 4, 5):
            queue.put(number, lambda number=number: begin(number))
        await asyncio.sleep(0.01)
        assert begun == [0, 2, 3]
        gate.set()
        await asyncio.sleep(0.01)
        assert begun == [0, 2, 3, 4, 5]
        queue.put(0, lambda: begin(0))
        await asyncio.sleep(0.01)
        assert begun[-1] == 0

    asyncio.run(work())


def test_call_that_fails_makes_room_for_the_next() -> None:
    """Guards against a queue that stops for good after some errors."""
    begun: list[int] = []

    async def call(number: int) -> None:
        begun.append(number)
        raise ValueError("odd")

    async def work() -> None:
        tasks: list[asyncio.Task[None]] = []

        def spawn(coroutine: Call) -> asyncio.Task[None]:
            tasks.append(asyncio.create_task(coroutine))
            return tasks[-1]

        queue = CallQueue(max_in_flight=1, spawn=spawn)
        for number in range(4):
            queue.put(number, lambda number=number: call(number))
        while len(tasks) < 4:
            await asyncio.sleep(0)
        await asyncio.gather(*tasks, return_exceptions=True)
        assert begun == [0, 1, 2, 3]

    asyncio.run(work())


def test_closed_queue_sends_nothing_when_its_calls_are_cancelled() -> None:
    """Guards against starts that an owner sends after its end, as each cancelled one made room."""
    begun: list[int] = []

    async def call(number: int) -> None:
        begun.append(number)
        await asyncio.Event().wait()

    async def work() -> None:
        tasks: list[asyncio.Task[None]] = []

        def spawn(coroutine: Call) -> asyncio.Task[None]:
            tasks.append(asyncio.create_task(coroutine))
            return tasks[-1]

        queue = CallQueue(max_in_flight=1, spawn=spawn)
        for number in range(4):
            queue.put(number, lambda number=number: call(number))
        await asyncio.sleep(0)
        queue.close()
        tasks[0].cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await asyncio.sleep(0.01)
        queue.put(9, lambda: call(9))
        assert begun == [0]
        assert len(tasks) == 1

    asyncio.run(work())

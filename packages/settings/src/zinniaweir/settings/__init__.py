"""The settings tree with its rules and its fold from the log, and the settings of each process."""

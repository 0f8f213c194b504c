"""Find out from the logs of several processes what became of a job, and why."""

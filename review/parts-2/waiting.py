"""The third condition of LOST: nothing of a job runs for 3 s although there is capacity for it."""

SPAN_S = 3.0


def find_idle_jobs(fleet, jobs, from_s, executors, cpu, task_cpu=500):
    """Return a line for each job without a run for 3 s on end after `from_s`.

    All jobs have one step, no tenant has a cap, and a task takes `task_cpu`. The rule asks for room for
    a job twice over, and for less than half of the capacity of the service in use.
    """
    until_s = fleet.now_s()
    running, times, in_use = {}, {job: [] for job in jobs}, []
    for event in sorted(fleet.events, key=lambda each: each['at']):
        if event['what'] == 'start':
            running[event['executor'], event['task']] = event['at']
        elif event['what'] == 'end':
            began = running.pop((event['executor'], event['task']), None)
            note(times, event['task'], began, event['at'])
        elif event['what'] == 'killed':
            for place in [each for each in running if each[0] == event['executor']]:
                note(times, place[1], running.pop(place), event['at'])
        in_use.append((event['at'], len(running)))
    for (_, task), began in running.items():
        note(times, task, began, until_s)
    most = max([count for at, count in in_use if at >= from_s] + [in_use[-1][1]]) * task_cpu
    fleet.note(f'case: at most {most} of {executors * cpu} millicores were in use lately')
    broken = []
    for job in jobs:
        clear_s = from_s
        for began, ended in sorted(times[job]) + [(until_s, until_s)]:
            if began - clear_s >= SPAN_S and most * 2 < executors * cpu:
                broken.append(f'LOST: job {job} had nothing running from {clear_s:.1f} s to {began:.1f} s, {most} of {executors * cpu} millicores in use')
                break
            clear_s = max(clear_s, ended)
    return broken


def note(times, task, began, ended):
    job = task.partition('.')[0]
    if job in times and began is not None:
        times[job].append((began, ended))

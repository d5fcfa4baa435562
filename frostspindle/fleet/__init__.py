"""State that the coordinators of a fleet share: who is there, budgets, counts and judgements on engines.

Owns nothing of requests. All that decides or keeps state here (`membership`, `escrow`, `flow`, `counts`, `verdicts`,
`node`) has no I/O and no clock: events and the time come in, messages and words go out. `wire` is the messages' form,
`service` the socket and the timer. Off unless the operator's file has a section `[fleet]`.
"""

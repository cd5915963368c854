/**
 * Core protocol of batch work: one task, the failure domain in which it runs, two
 * schedulers of which one holds the domain's lease, and two workers.
 *
 * Time is counted in ticks. A worker's clock may miss one tick. A write may take effect at
 * once, late or never; a late write is sent by a scheduler that was paused, or its answer
 * was lost. The actions on the task's row have the names of the transitions in the code.
 */
module CoreProtocol

open util/ordering[Attempt] as attempts
open util/ordering[Epoch] as epochs
open util/ordering[Count] as counts

sig Attempt {}
sig Epoch {}
/** Ticks from 0 to 3; counting stops at 3. */
sig Count {}

enum Status { PENDING, CLAIMED, RUNNING, EVICTING, CANCELLING, SUCCEEDED, FAILED, CANCELLED }

enum Action { CLAIM, CONFIRM_START, CONFIRM_NOT_STARTED, EVICT, CONFIRM_EVICTED, LAPSE, SUCCEED, RETRY, GIVE_UP,
	CANCEL_PENDING, CANCEL, CONFIRM_CANCELLED }

fun sources : Action -> Status {
	CLAIM -> PENDING
	+ CONFIRM_START -> CLAIMED
	+ CONFIRM_NOT_STARTED -> (CLAIMED + EVICTING)
	+ EVICT -> (CLAIMED + RUNNING)
	+ CONFIRM_EVICTED -> EVICTING
	+ LAPSE -> (CLAIMED + RUNNING + EVICTING)
	+ SUCCEED -> (CLAIMED + RUNNING + EVICTING + CANCELLING)
	+ RETRY -> (CLAIMED + RUNNING + EVICTING)
	+ GIVE_UP -> (CLAIMED + RUNNING + EVICTING)
	+ CANCEL_PENDING -> PENDING
	+ CANCEL -> (CLAIMED + RUNNING + EVICTING)
	+ CONFIRM_CANCELLED -> CANCELLING
}

fun target : Action -> Status {
	CLAIM -> CLAIMED + CONFIRM_START -> RUNNING + CONFIRM_NOT_STARTED -> PENDING + EVICT -> EVICTING
	+ CONFIRM_EVICTED -> PENDING + LAPSE -> PENDING + SUCCEED -> SUCCEEDED + RETRY -> PENDING + GIVE_UP -> FAILED
	+ CANCEL_PENDING -> CANCELLED + CANCEL -> CANCELLING + CONFIRM_CANCELLED -> CANCELLED
}

/** Parts of the protocol that a check can leave out, to see that it is needed. */
enum Guard { FENCE, DRIFT_MARGIN, START_BY, TASK_VERSION, LIVE_WORKER }
one sig Guards { on : set Guard }

one sig Row {
	var status : one Status,
	var attempt : lone Attempt,
	var worker : lone Worker,
	var checkpoint : lone Attempt,
	/** Age of the worker's report on which the claim rests. */
	var decided : one Count
}

one sig Shard {
	var holder : one Scheduler,
	var epoch : one Epoch,
	/** Ticks since the last renewal. */
	var age : one Count
}

/** Ticks since a note took the failure domain out; none while it is in. */
one sig Domain { var outAge : lone Count }

sig Scheduler {
	/** Epoch of the lease that this scheduler believes to hold. */
	var epoch : lone Epoch,
	/** Ticks since the start of the lease or the last permission given to the worker. */
	var wait : Worker -> one Count
}

/** A write that was sent and may still take effect. */
one sig Network {
	var pending : lone Action,
	var sender : lone Scheduler,
	var worker : lone Worker,
	var decided : one Count
}

/** Whether the pending write meets its conditions on the rows. */
var sig TaskUnchanged, ShardUnchanged, DomainUnchanged in Network {}

sig Worker {
	var running : lone Attempt,
	/** Ticks for which the agent may renew task leases; none when the permission is over. */
	var left : lone Count,
	/** Attempts that were started or are refused for ever. */
	var known : set Attempt,
	/** Highest epoch seen. */
	var epoch : one Epoch,
	/** Start command on its way; it may arrive several times. */
	var command : lone Attempt,
	var commandEpoch : lone Epoch
}

/** Attempts that their worker confirms not to run, to have done their work, to have failed. */
var sig Ended, Succeeded, Failed in Attempt {}

/** Workers whose clock has missed its tick. */
var sig Slowed in Worker {}

let zero = counts/first
let one_ = counts/first.(counts/next)
let two = one_.(counts/next)
let three = counts/last

fun increment [c : Count] : Count { some c.(counts/next) implies c.(counts/next) else c }

/** Ticks after which a silent worker's permission is over for certain. */
fun lapseWait : Count { DRIFT_MARGIN in Guards.on implies three else two }

/** A waiting task with workers that have just got permission. */
pred initWaiting {
	Row.status = PENDING and no Row.attempt and no Row.worker and no running
	Row.decided = zero and Shard.age = zero
	all s : Scheduler, w : Worker | s.wait[w] = zero
	left = Worker -> two and no Slowed
}

/** A running task on a worker whose clock has missed one of the two ticks since. */
pred initRunning {
	Row.status in CLAIMED + RUNNING and Row.attempt = attempts/first and running = Row.worker -> Row.attempt
	some Row.worker and Row.decided = one_ and Shard.age = two
	all s : Scheduler, w : Worker | s.wait[w] = two
	left = Row.worker -> one_ and Slowed = Row.worker
}

pred init {
	initWaiting or initRunning
	no Row.checkpoint and no Domain.outAge
	Shard.epoch = epochs/first and Scheduler <: epoch = Shard.holder -> Shard.epoch
	no Network.pending and no Network.sender and no Network.worker and Network.decided = zero
	no TaskUnchanged and no ShardUnchanged and no DomainUnchanged
	Worker <: epoch = Worker -> epochs/first
	known = running and no Ended and no Succeeded and no Failed and no command and no commandEpoch
}

pred rowSame {
	status' = status and attempt' = attempt and Row <: worker' = Row <: worker and checkpoint' = checkpoint
	Row <: decided' = Row <: decided
}

pred shardSame { holder' = holder and Shard.epoch' = Shard.epoch and age' = age }

pred schedulersSame { Scheduler <: epoch' = Scheduler <: epoch and wait' = wait and pendingSame }

pred pendingSame {
	pendingWriteSame
	TaskUnchanged' = TaskUnchanged and ShardUnchanged' = ShardUnchanged and DomainUnchanged' = DomainUnchanged
}

pred pendingWriteSame {
	pending' = pending and sender' = sender and Network <: worker' = Network <: worker
	Network <: decided' = Network <: decided
}

pred factsSame { known' = known and outcomesSame }

pred outcomesSame { Ended' = Ended and Succeeded' = Succeeded and Failed' = Failed }

pred commandsSame { command' = command and commandEpoch' = commandEpoch }

pred clockSame { left' = left and Slowed' = Slowed }

pred workersSame { running' = running and clockSame and factsSame and Worker <: epoch' = Worker <: epoch and commandsSame }

pred domainSame { outAge' = outAge }

/** What a scheduler must know before it writes. */
pred evidence [s : Scheduler, a : Action, claimed : Worker] {
	some s.epoch
	Row.status in sources[a]
	let w = Row.worker, n = Row.attempt {
		a = CONFIRM_START implies w.running = n
		a in CONFIRM_NOT_STARTED + CONFIRM_EVICTED implies n in Ended
		a = LAPSE implies gte[s.wait[w], lapseWait]
		a = SUCCEED implies n in Succeeded
		a in RETRY + GIVE_UP implies n in Failed
		a = CONFIRM_CANCELLED implies (n in Ended or gte[s.wait[w], lapseWait])
	}
	a = CLAIM implies {
		no Domain.outAge and Row.attempt != attempts/last
		LIVE_WORKER in Guards.on implies s.wait[claimed] = zero
	}
}

/** Effect of a write on the row. */
pred effect [s : Scheduler, a : Action, w : lone Worker, age : Count] {
	status' = Row -> target[a]
	attempt' = (a = CLAIM implies Row -> (some Row.attempt implies Row.attempt.(attempts/next) else attempts/first)
		else attempt)
	Row <: worker' = (a = CLAIM implies Row -> w else Row <: worker)
	Row <: decided' = (a = CLAIM implies Row -> age else Row <: decided)
	checkpoint' = (a = CONFIRM_EVICTED implies Row -> Row.attempt else checkpoint)
	a = CLAIM implies {
		command' = command ++ (w -> Row.attempt')
		commandEpoch' = commandEpoch ++ (w -> s.epoch)
	} else commandsSame
	running' = running and clockSame and factsSame and Worker <: epoch' = Worker <: epoch
	TaskUnchanged' = none
}

/** A write that takes effect at once. */
pred write [s : Scheduler, a : Action, w : Worker] {
	evidence[s, a, w]
	FENCE in Guards.on implies (Shard.holder = s and Shard.epoch = s.epoch)
	effect[s, a, w, zero]
	ShardUnchanged' = ShardUnchanged and DomainUnchanged' = DomainUnchanged
	pendingWriteSame
	Scheduler <: epoch' = Scheduler <: epoch and wait' = wait
	shardSame and domainSame
}

/** A write that is sent and whose answer does not come. */
pred send [s : Scheduler, a : Action, w : Worker] {
	evidence[s, a, w]
	pending' = Network -> a and sender' = Network -> s and Network <: worker' = Network -> w
	Network <: decided' = Network -> zero
	TaskUnchanged' = Network and DomainUnchanged' = Network
	ShardUnchanged' = ((Shard.holder = s and Shard.epoch = s.epoch) implies Network else none)
	Scheduler <: epoch' = Scheduler <: epoch and wait' = wait
	rowSame and shardSame and domainSame and workersSame
}

/** A write that was sent earlier takes effect. */
pred arrive {
	some Network.pending
	FENCE in Guards.on implies some ShardUnchanged
	TASK_VERSION in Guards.on implies some TaskUnchanged
	Network.pending = CLAIM
		implies (some DomainUnchanged and no Domain.outAge and Row.attempt != attempts/last)
	effect[Network.sender, Network.pending, Network.worker, Network.decided]
	pendingWriteSame
	ShardUnchanged' = ShardUnchanged and DomainUnchanged' = DomainUnchanged
	Scheduler <: epoch' = Scheduler <: epoch and wait' = wait
	shardSame and domainSame
}

pred renewShard [s : Scheduler] {
	Shard.holder = s and Shard.epoch = s.epoch
	age' = Shard -> zero and holder' = holder and Shard.epoch' = Shard.epoch
	rowSame and domainSame and schedulersSame and workersSame
}

/** A scheduler takes the lease of a holder that has not renewed it for two ticks. */
pred takeShard [s : Scheduler] {
	Shard.holder != s and gte[Shard.age, two] and Shard.epoch != epochs/last
	holder' = Shard -> s and Shard.epoch' = Shard.epoch.(epochs/next) and age' = Shard -> zero
	Scheduler <: epoch' = Scheduler <: epoch ++ (s -> Shard.epoch')
	wait' = wait - (s -> Worker -> Count) + (s -> Worker -> zero)
	pendingWriteSame
	TaskUnchanged' = TaskUnchanged and DomainUnchanged' = DomainUnchanged and ShardUnchanged' = none
	rowSame and domainSame and workersSame
}

/** The agent reports and gets permission to renew task leases. */
pred permit [s : Scheduler, w : Worker] {
	Shard.holder = s and Shard.epoch = s.epoch and Shard.age = zero
	gte[s.epoch, w.epoch]
	left' = left ++ (w -> two) and Slowed' = Slowed
	Worker <: epoch' = Worker <: epoch ++ (w -> s.epoch)
	wait' = wait - (s -> w -> Count) + (s -> w -> zero)
	running' = running and factsSame and commandsSame and Scheduler <: epoch' = Scheduler <: epoch and pendingSame
	rowSame and shardSame and domainSame
}

/** The agent obeys a start command. */
pred start [w : Worker] {
	some w.command and w.command not in w.known and some w.left and no w.running
	gte[w.commandEpoch, w.epoch]
	START_BY in Guards.on implies lte[Row.decided, one_]
	w.command = Row.attempt or START_BY not in Guards.on
	running' = running ++ (w -> w.command)
	known' = known + w -> w.command and outcomesSame
	Worker <: epoch' = Worker <: epoch ++ (w -> w.commandEpoch)
	clockSame and commandsSame
	rowSame and shardSame and domainSame and schedulersSame
}

/** The agent stops an attempt, which the worker then refuses for ever. */
pred stop [w : Worker] {
	w = Row.worker and Row.status in CLAIMED + EVICTING + CANCELLING
	running' = running - (w -> Row.attempt)
	known' = known + w -> Row.attempt and Ended' = Ended + Row.attempt
	Succeeded' = Succeeded and Failed' = Failed
	clockSame and Worker <: epoch' = Worker <: epoch and commandsSame
	rowSame and shardSame and domainSame and schedulersSame
}

/** An attempt ends by itself. */
pred finish [w : Worker] {
	some w.running
	running' = running - (w -> Attempt)
	Ended' = Ended + w.running
	Succeeded' = Succeeded + w.running and Failed' = Failed or Failed' = Failed + w.running and Succeeded' = Succeeded
	known' = known
	clockSame and Worker <: epoch' = Worker <: epoch and commandsSame
	rowSame and shardSame and domainSame and schedulersSame
}

/** A note takes the failure domain out or back. */
pred changeDomain {
	(no Domain.outAge and outAge' = Domain -> zero) or (some Domain.outAge and no outAge')
	DomainUnchanged' = none and TaskUnchanged' = TaskUnchanged and ShardUnchanged' = ShardUnchanged
	pendingWriteSame
	Scheduler <: epoch' = Scheduler <: epoch and wait' = wait
	rowSame and shardSame and workersSame
}

/** Time passes; the clocks of some workers miss the tick. */
pred tick {
	Slowed in Slowed'
	let slow = Slowed' - Slowed {
		left' = slow <: left + { w : Worker - slow, c : Count | w.left != one_ and c = w.left.(counts/prev) }
		running' = { w : Worker, a : w.running | w in slow or (some w.left and w.left != one_) }
		Row <: decided' = (Row.worker in slow implies Row <: decided else Row -> increment[Row.decided])
		Network <: decided' = (Network.worker in slow implies Network <: decided
			else Network -> increment[Network.decided])
	}
	all s : Scheduler, w : Worker | s.wait'[w] = increment[s.wait[w]]
	age' = Shard -> increment[Shard.age]
	outAge' = Domain -> increment[Domain.outAge]
	holder' = holder and Shard.epoch' = Shard.epoch
	status' = status and attempt' = attempt and Row <: worker' = Row <: worker and checkpoint' = checkpoint
	Scheduler <: epoch' = Scheduler <: epoch and pending' = pending and sender' = sender
	Network <: worker' = Network <: worker
	TaskUnchanged' = TaskUnchanged and ShardUnchanged' = ShardUnchanged and DomainUnchanged' = DomainUnchanged
	factsSame and commandsSame and Worker <: epoch' = Worker <: epoch
}

pred stutter { rowSame and shardSame and domainSame and schedulersSame and workersSame }

fact traces {
	init
	always (
		(some s : Scheduler, a : Action, w : Worker | write[s, a, w] or send[s, a, w])
		or (some s : Scheduler | renewShard[s] or takeShard[s])
		or (some s : Scheduler, w : Worker | permit[s, w])
		or (some w : Worker | start[w] or stop[w] or finish[w])
		or arrive or changeDomain or tick or stutter)
}

pred allGuards { Guards.on = Guard }
pred without [g : Guard] { Guards.on = Guard - g }

pred atMostOneRunner { always lone running }

/** Two ticks: one for the start-by budget and one that the worker's clock may miss. */
pred noStartAfterOut { always all w : Worker | (start[w] and some Domain.outAge) implies lte[Domain.outAge, two] }

pred noRevert {
	always {
		some Row.attempt implies (some Row.attempt' and gte[Row.attempt', Row.attempt])
		some Row.checkpoint implies (some Row.checkpoint' and gte[Row.checkpoint', Row.checkpoint])
		Row.status in SUCCEEDED + FAILED + CANCELLED implies Row.status' = Row.status
		gte[Shard.epoch', Shard.epoch]
	}
}

/** An evicted attempt does not run and its checkpoint is in the row; a result is real. */
pred noLostWork {
	always {
		Row.status = SUCCEEDED implies Row.attempt in Succeeded
		(Row.status = EVICTING and Row.status' = PENDING and Row.checkpoint' != Row.checkpoint)
			implies (Row.checkpoint' = Row.attempt and no w : Worker | w.running = Row.attempt)
		(Row.status = PENDING and some Row.attempt) implies no w : Worker | w.running = Row.attempt
	}
}

protocolHolds : check { allGuards implies (atMostOneRunner and noStartAfterOut and noRevert and noLostWork) }
	for 4 Count, 2 Attempt, 2 Epoch, 2 Scheduler, 2 Worker, 9..9 steps

fenceIsNeeded : check { without[FENCE] implies atMostOneRunner }
	for 4 Count, 2 Attempt, 2 Epoch, 2 Scheduler, 2 Worker, 9..9 steps
driftMarginIsNeeded : check { without[DRIFT_MARGIN] implies atMostOneRunner }
	for 4 Count, 2 Attempt, 2 Epoch, 2 Scheduler, 2 Worker, 7..7 steps
startByIsNeeded : check { without[START_BY] implies noStartAfterOut }
	for 4 Count, 2 Attempt, 2 Epoch, 2 Scheduler, 2 Worker, 9..9 steps
taskVersionIsNeeded : check { without[TASK_VERSION] implies noRevert }
	for 4 Count, 2 Attempt, 2 Epoch, 2 Scheduler, 2 Worker, 5..5 steps

liveWorkerIsNeeded : check { without[LIVE_WORKER] implies noLostWork }
	for 4 Count, 2 Attempt, 2 Epoch, 2 Scheduler, 2 Worker, 9..9 steps

evictedTaskRunsAgain : run { allGuards and eventually (Row.checkpoint = attempts/first
	and some w : Worker | w.running = attempts/last) }
	for 4 Count, 2 Attempt, 2 Epoch, 2 Scheduler, 2 Worker, 7..7 steps
taskSurvivesTakeover : run { allGuards and eventually (Shard.epoch = epochs/last and Row.status = SUCCEEDED) }
	for 4 Count, 2 Attempt, 2 Epoch, 2 Scheduler, 2 Worker, 7..7 steps

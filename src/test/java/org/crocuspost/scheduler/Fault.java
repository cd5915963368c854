package org.crocuspost.scheduler;

import java.time.Duration;
import java.util.List;
import java.util.Set;

import org.crocuspost.bench.batch.BatchDeployment;
import org.crocuspost.bench.batch.VirtualScheduler;
import org.crocuspost.standin.WriteFault;
import org.crocuspost.standin.process.MemoryLink;

/**
 * Faults that a deployment must tolerate. Each begins immediately and ends by itself.
 */
enum Fault {

	SCHEDULER_KILLED((deployment) -> {
		deployment.killScheduler(holder(deployment));
		deployment.time().schedule(Duration.ofSeconds(30), deployment::startScheduler);
	}),

	SCHEDULER_PAUSED_PAST_ITS_LEASE((deployment) -> pause(deployment, Duration.ofSeconds(20))),

	SCHEDULER_PAUSED_TWICE((deployment) -> {
		pause(deployment, Duration.ofSeconds(12));
		deployment.time().schedule(Duration.ofSeconds(14), () -> pause(deployment, Duration.ofSeconds(12)));
	}),

	LEASE_HOLDER_PARTITIONED_FROM_AGENTS((deployment) -> {
		List<MemoryLink> links = deployment.linksOfScheduler(holder(deployment));
		links.forEach((link) -> link.dropFrames(true));
		deployment.time().schedule(Duration.ofSeconds(40), () -> links.forEach((link) -> link.dropFrames(false)));
	}),

	STORE_DOWN((deployment) -> {
		deployment.table().faults().down(true);
		deployment.time().schedule(Duration.ofMinutes(10), () -> deployment.table().faults().down(false));
	}),

	STORE_ANSWERS_LOST((deployment) -> deployment.table()
		.faults()
		.nextWrites(WriteFault.LOST_AFTER_WRITE, WriteFault.NONE, WriteFault.LOST_BEFORE_WRITE,
				WriteFault.LOST_AFTER_WRITE, WriteFault.LOST_AFTER_WRITE)),

	STORE_WRITES_DELAYED((deployment) -> {
		deployment.table().faults().nextWrites(WriteFault.HELD, WriteFault.HELD, WriteFault.NONE, WriteFault.HELD);
		deployment.time().schedule(Duration.ofSeconds(3), () -> deployment.table().applyHeld());
		deployment.time().schedule(Duration.ofSeconds(15), () -> deployment.table().applyHeld());
	}),

	WORKER_LOST((deployment) -> {
		deployment.failWorker("north-w0");
		deployment.time().schedule(Duration.ofMinutes(5), () -> deployment.recoverWorker("north-w0"));
	}),

	AGENT_PAUSED_PAST_TASK_LEASE((deployment) -> {
		deployment.worker("north-w1").process().pause();
		deployment.time().schedule(Duration.ofSeconds(40), () -> deployment.worker("north-w1").process().resume());
	}),

	WORKER_UNREACHABLE_THEN_BACK((deployment) -> {
		List<MemoryLink> links = deployment.links("south-w1");
		links.forEach((link) -> link.dropFrames(true));
		deployment.time().schedule(Duration.ofMinutes(4), () -> links.forEach((link) -> link.dropFrames(false)));
	}),

	AGENT_RESTARTED((deployment) -> deployment.restartAgent("west-w0")),

	COMMANDS_SLOW((deployment) -> {
		List<MemoryLink> links = deployment.links("south-w0");
		links.forEach((link) -> link.delay(Duration.ofSeconds(5)));
		deployment.time()
			.schedule(Duration.ofSeconds(60), () -> links.forEach((link) -> link.delay(Duration.ofMillis(1))));
	}),

	FRAMES_DUPLICATED((deployment) -> deployment.links("south-w2").forEach((link) -> link.duplicateFrames(true))),

	RUNTIME_ANSWERS_LOST((deployment) -> {
		deployment.worker("west-w1").runtime().faults().answersLost(true);
		deployment.time()
			.schedule(Duration.ofSeconds(20), () -> deployment.worker("west-w1").runtime().faults().answersLost(false));
	}),

	DOMAIN_OUT_OF_SERVICE((deployment) -> {
		deployment.configuration().takeOutOfService("south");
		deployment.time().schedule(Duration.ofSeconds(60), () -> deployment.configuration().returnToService("south"));
	}),

	DOMAIN_OUT_OF_SERVICE_BRIEFLY((deployment) -> {
		deployment.configuration().takeOutOfService("south");
		deployment.time().schedule(Duration.ofMillis(300), () -> deployment.configuration().returnToService("south"));
	});

	/**
	 * Workers whose results may never reach a scheduler. A task that has ended there is
	 * run again.
	 */
	static final Set<String> UNREACHABLE_WORKERS = Set.of("north-w0", "south-w1");

	private final Injection injection;

	Fault(Injection injection) {
		this.injection = injection;
	}

	void inject(BatchDeployment deployment) {
		this.injection.inject(deployment);
	}

	boolean hidesResults() {
		return this == WORKER_LOST || this == WORKER_UNREACHABLE_THEN_BACK;
	}

	private static void pause(BatchDeployment deployment, Duration length) {
		VirtualScheduler paused = deployment.scheduler(holder(deployment));
		paused.process().pause();
		deployment.time().schedule(length, () -> paused.process().resume());
	}

	private static String holder(BatchDeployment deployment) {
		return deployment.schedulers()
			.stream()
			.filter((scheduler) -> scheduler.scheduler().heldEpoch("south").isDefined())
			.findFirst()
			.orElse(deployment.schedulers().get(0))
			.identity()
			.name();
	}

	@FunctionalInterface
	interface Injection {

		void inject(BatchDeployment deployment);

	}

}

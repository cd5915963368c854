package org.crocuspost.bench.capacity;

import org.crocuspost.wire.AgentStatus;
import org.crocuspost.wire.AttemptReport;
import org.crocuspost.wire.Frame;
import org.crocuspost.wire.PairEffect;
import org.crocuspost.wire.Ping;
import org.crocuspost.wire.ResourceAmount;
import org.crocuspost.wire.WorkerReport;

/**
 * Messages with names and numbers of ordinary length.
 */
final class SampleMessages {

	private static final long CORRELATION = 1_000_000;

	private SampleMessages() {
	}

	static Frame report(int attempts) {
		WorkerReport.Builder report = WorkerReport.newBuilder()
			.setSequence(CORRELATION)
			.setWorker("worker-0123")
			.setRack("rack-042")
			.setCapacity(amount())
			.setReserved(amount())
			.setConfigurationVersion(CORRELATION)
			.setService("lunchwallet")
			.setServicePressure(750);
		for (int i = 0; i < attempts; i++) {
			report.addAttempts(attempt(i));
			report.addPairEffects(PairEffect.newBuilder()
				.setJob("nightly-statements-" + i)
				.setEffectThousandths(1500)
				.setStandardErrorThousandths(120));
		}
		return Frame.newBuilder().setCorrelation(CORRELATION).setWorkerReport(report).build();
	}

	static Frame status() {
		return Frame.newBuilder()
			.setAgentStatus(AgentStatus.newBuilder()
				.setEndpointId("lunchwallet-0123")
				.setService("lunchwallet")
				.setWorker("worker-0123")
				.setRack("rack-042")
				.setSlots(8)
				.setSlotsUsed(4)
				.setAccepting(true)
				.setConfigurationVersion(CORRELATION))
			.build();
	}

	static Frame ping() {
		return Frame.newBuilder().setPing(Ping.newBuilder().setSequence(CORRELATION)).build();
	}

	private static AttemptReport attempt(int number) {
		return AttemptReport.newBuilder()
			.setTaskId("nightly-statements-" + number + "/0123")
			.setAttempt(CORRELATION)
			.setEpoch(CORRELATION)
			.setPhase(AttemptReport.Phase.PHASE_RUNNING)
			.setCheckpoint("checkpoint/0123456789abcdef")
			.setJob("nightly-statements-" + number)
			.setReserved(amount())
			.setUsed(amount())
			.setUsedAgeMilliseconds(15_000)
			.setThrottlePercent(80)
			.build();
	}

	private static ResourceAmount amount() {
		return ResourceAmount.newBuilder().setMilliCores(4000).setMemoryMebibytes(16_000).build();
	}

}

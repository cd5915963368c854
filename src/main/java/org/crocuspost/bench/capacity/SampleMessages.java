package org.crocuspost.bench.capacity;

import org.crocuspost.wire.AgentStatus;
import org.crocuspost.wire.AttemptReport;
import org.crocuspost.wire.Frame;
import org.crocuspost.wire.PairEffect;
import org.crocuspost.wire.Ping;
import org.crocuspost.wire.ResourceAmount;
import org.crocuspost.wire.WorkerReport;

/**
 * Creates messages whose names and numbers have a typical length.
 */
final class SampleMessages {

	private static final long SAMPLE_NUMBER = 1_000_000;

	private SampleMessages() {
	}

	static Frame workerReport(int attemptCount) {
		WorkerReport.Builder report = WorkerReport.newBuilder()
			.setSequence(SAMPLE_NUMBER)
			.setWorker("worker-0123")
			.setRack("rack-042")
			.setCapacity(resourceAmount())
			.setReserved(resourceAmount())
			.setConfigurationVersion(SAMPLE_NUMBER)
			.setService("lunchwallet")
			.setServicePressure(750);
		for (int i = 0; i < attemptCount; i++) {
			report.addAttempts(attemptReport(i));
			report.addPairEffects(PairEffect.newBuilder()
				.setJob("nightly-statements-" + i)
				.setEffectThousandths(1500)
				.setStandardErrorThousandths(120));
		}
		return Frame.newBuilder().setCorrelation(SAMPLE_NUMBER).setWorkerReport(report).build();
	}

	static Frame agentStatus() {
		return Frame.newBuilder()
			.setAgentStatus(AgentStatus.newBuilder()
				.setEndpointId("lunchwallet-0123")
				.setService("lunchwallet")
				.setWorker("worker-0123")
				.setRack("rack-042")
				.setSlots(8)
				.setSlotsUsed(4)
				.setAccepting(true)
				.setConfigurationVersion(SAMPLE_NUMBER))
			.build();
	}

	static Frame ping() {
		return Frame.newBuilder().setPing(Ping.newBuilder().setSequence(SAMPLE_NUMBER)).build();
	}

	private static AttemptReport attemptReport(int number) {
		return AttemptReport.newBuilder()
			.setTaskId("nightly-statements-" + number + "/0123")
			.setAttempt(SAMPLE_NUMBER)
			.setEpoch(SAMPLE_NUMBER)
			.setPhase(AttemptReport.Phase.PHASE_RUNNING)
			.setCheckpoint("checkpoint/0123456789abcdef")
			.setJob("nightly-statements-" + number)
			.setReserved(resourceAmount())
			.setUsed(resourceAmount())
			.setUsedAgeMilliseconds(15_000)
			.setThrottlePercent(80)
			.build();
	}

	private static ResourceAmount resourceAmount() {
		return ResourceAmount.newBuilder().setMilliCores(4000).setMemoryMebibytes(16_000).build();
	}

}

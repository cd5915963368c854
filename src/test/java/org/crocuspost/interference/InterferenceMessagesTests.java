package org.crocuspost.interference;

import java.time.Duration;
import java.time.Instant;
import java.util.List;

import org.crocuspost.configuration.ServiceObjective;
import org.crocuspost.platform.worker.AttemptKey;
import org.crocuspost.platform.worker.Resources;
import org.crocuspost.time.VirtualTime;
import org.crocuspost.wire.EvictionProposal;
import org.crocuspost.wire.PairEffect;
import org.crocuspost.wire.WorkerReport;
import org.crocuspost.wire.WorkerReportReply;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class InterferenceMessagesTests {

	@Test
	void schedulerReadsWhatTheAgentLearned() {
		VirtualTime time = new VirtualTime(Instant.EPOCH);
		ServiceLatencyWindow window = new ServiceLatencyWindow(time);
		ControlledAttempt attempt = new ControlledAttempt(new AttemptKey("task", 1), "statements",
				new Resources(1000, 1000, 0));
		InterferenceController controller = new InterferenceController(InterferenceSettings.DEFAULT, time,
				new Resources(2000, 2000, 0), window, EffectPriors.NONE, () -> List.of(attempt), (key, percent) -> {
				}, (request) -> {
				});
		window.record(Duration.ofMillis(100));
		controller.control("wallet", new ServiceObjective(Duration.ofMillis(200), 0.99, 0.999));
		WorkerReport.Builder report = WorkerReport.newBuilder();
		InterferenceMessages.addInterferenceData(controller, "wallet", report);
		assertThat(report.getServicePressure()).isEqualTo(500);
		assertThat(InterferenceMessages.observations(report.build())).singleElement().satisfies((observation) -> {
			assertThat(observation.service()).isEqualTo("wallet");
			assertThat(observation.job()).isEqualTo("statements");
			assertThat(observation.effect().standardError()).isPositive();
		});
	}

	@Test
	void agentReadsWhatTheFleetKnowsOfItsJobs() {
		PairPenalties penalties = new PairPenalties(PairPenaltySettings.DEFAULT, new VirtualTime(Instant.EPOCH));
		penalties.observe("w1", new PairObservation("wallet", "statements", new JobEffect(2, 0.1)));
		PairEffect reported = PairEffect.newBuilder().setJob("statements").build();
		WorkerReport report = WorkerReport.newBuilder().setService("wallet").addPairEffects(reported).build();
		WorkerReportReply.Builder reply = WorkerReportReply.newBuilder();
		InterferenceMessages.addInterferenceData(penalties, report, reply);
		ReportedPriors priors = new ReportedPriors();
		priors.update(reply.build());
		assertThat(priors.of("statements").mean()).isBetween(1.9, 2.0);
		assertThat(priors.of("other")).isEqualTo(JobEffect.UNKNOWN);
	}

	@Test
	void proposalNamesTheAttemptAndItsEvidence() {
		EvictionProposal proposal = InterferenceMessages.toWire(new EvictionRequest(new AttemptKey("task", 3),
				"statements", new JobEffect(2.5, 0.2), 1.25, Duration.ofSeconds(60)));
		assertThat(proposal.getTaskId()).isEqualTo("task");
		assertThat(proposal.getAttempt()).isEqualTo(3);
		assertThat(proposal.getEvidence().getEffectThousandths()).isEqualTo(2500);
		assertThat(proposal.getPressureThousandths()).isEqualTo(1250);
	}

}

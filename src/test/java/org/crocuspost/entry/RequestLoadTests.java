package org.crocuspost.entry;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

import org.crocuspost.standin.endpoint.EndpointFault;
import org.crocuspost.standin.endpoint.EndpointStandIn;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Planned stops, departures and overload with requests under way.
 */
class RequestLoadTests {

	private static final int SLOTS = 8;

	@Test
	void anAgentThatLeavesCutsNoRequest() throws Exception {
		try (Scene scene = new Scene(2)) {
			scene.load.send(scene.entry, 16);
			CompletableFuture<Void> drained = scene.agents.get(0).gate.drain().toCompletableFuture();
			scene.load.send(scene.entry, 4);
			scene.load.awaitAnswers();
			drained.get(20, java.util.concurrent.TimeUnit.SECONDS);
			int ranBefore = scene.endpoints.get(0).ledger().size();
			scene.load.send(scene.entry, 20);
			scene.load.awaitAnswers();
			assertThat(scene.load.verdicts()).containsOnlyKeys("ran");
			assertThat(scene.endpoints.get(0).ledger()).hasSize(ranBefore);
			scene.load.assertTruth(scene.endpoints);
		}
	}

	@Test
	void anEntryThatIsDrainedCutsNoRequest() throws Exception {
		try (Scene scene = new Scene(2)) {
			scene.load.send(scene.entry, 10);
			CompletableFuture<Void> drained = scene.entry.drain().toCompletableFuture();
			scene.load.send(scene.entry, 10);
			drained.get(20, java.util.concurrent.TimeUnit.SECONDS);
			scene.load.awaitAnswers();
			assertThat(scene.load.verdicts()).containsOnlyKeys("ran");
		}
	}

	@Test
	void aFailureDomainThatIsOutGetsNoNewWorkUntilItReturns() throws Exception {
		try (Scene scene = new Scene(3)) {
			scene.load.send(scene.entry, 12);
			scene.path.configuration.set(RequestPathFixture.configuration(Set.of(), Set.of("bkk-0")));
			scene.load.awaitAnswers();
			int before = scene.endpoints.get(0).ledger().size();
			scene.load.send(scene.entry, 30);
			scene.load.awaitAnswers();
			assertThat(scene.endpoints.get(0).ledger()).hasSize(before);
			scene.path.configuration.set(RequestPathFixture.configuration(Set.of(), Set.of()));
			scene.sendUntilUsed(scene.endpoints.get(0), before);
			assertThat(scene.load.verdicts()).containsOnlyKeys("ran");
			scene.load.assertTruth(scene.endpoints);
		}
	}

	@Test
	void anAgentThatDiesUnderLoadLeavesNoFalseVerdict() throws Exception {
		try (Scene scene = new Scene(3)) {
			scene.load.send(scene.entry, 24, "Crocuspost-Deadline-Milliseconds", "2000");
			scene.path.await(() -> scene.endpoints.get(0).running() > 0);
			scene.agents.get(0).kill();
			scene.load.send(scene.entry, 24, "Crocuspost-Deadline-Milliseconds", "2000");
			scene.load.awaitAnswers();
			scene.load.assertTruth(scene.endpoints);
			assertThat(scene.load.verdicts()).containsKey("ran");
		}
	}

	@ParameterizedTest
	@ValueSource(ints = { 2, 5 })
	void overloadIsRefusedTruthfullyAndTheSlotsHold(int factor) throws Exception {
		try (Scene scene = new Scene(2)) {
			scene.load.send(scene.entry, factor * 2 * 3 * SLOTS, "Crocuspost-Deadline-Milliseconds", "1000");
			scene.load.awaitAnswers();
			scene.load.assertTruth(scene.endpoints);
			assertThat(scene.load.verdicts()).containsOnlyKeys("ran", "not-run");
			assertThat(scene.load.answeredOk()).isGreaterThanOrEqualTo(2 * SLOTS);
			assertThat(scene.endpoints).allMatch((endpoint) -> endpoint.mostRunning() <= SLOTS);
		}
	}

	@Test
	void theSlotsHoldWhenSeveralEntriesSend() throws Exception {
		try (RequestPathFixture path = new RequestPathFixture()) {
			LoopbackEntry one = path.entry("entry-1");
			LoopbackEntry other = path.entry("entry-2");
			EndpointStandIn endpoint = path.endpoint();
			endpoint.setServiceTime(Duration.ofMillis(50));
			path.agent("agent-1", endpoint, one, other);
			PostLoad load = new PostLoad(path);
			load.send(one, 3 * SLOTS, "Crocuspost-Deadline-Milliseconds", "1000");
			load.send(other, 3 * SLOTS, "Crocuspost-Deadline-Milliseconds", "1000");
			load.awaitAnswers();
			load.assertTruth(List.of(endpoint));
			assertThat(endpoint.mostRunning()).isLessThanOrEqualTo(SLOTS);
			assertThat(load.verdicts()).containsOnlyKeys("ran", "not-run");
		}
	}

	@Test
	void anEndpointThatFailsFastDoesNotAttractWork() throws Exception {
		try (Scene scene = new Scene(4)) {
			scene.endpoints.forEach((endpoint) -> endpoint.setServiceTime(Duration.ofMillis(5)));
			scene.endpoints.get(0).setServiceTime(Duration.ZERO);
			scene.endpoints.get(0).setFault(EndpointFault.ERROR);
			for (int round = 0; round < 50; round++) {
				scene.load.send(scene.entry, 4);
				scene.load.awaitAnswers();
			}
			assertThat(scene.endpoints.get(0).ledger().size()).isLessThan(200 / 4);
			scene.load.assertTruth(scene.endpoints);
		}
	}

	@Test
	void anOutageOfAllEndpointsAddsNoMoreThanTheRetryBudget() throws Exception {
		try (Scene scene = new Scene(3)) {
			scene.endpoints.forEach((endpoint) -> endpoint.setServiceTime(Duration.ZERO));
			scene.endpoints.forEach((endpoint) -> endpoint.setFault(EndpointFault.RESET_DURING));
			int requests = 200;
			for (int count = 0; count < requests; count++) {
				RequestPathFixture.get(scene.path.send(scene.entry, "GET", ""));
			}
			int runs = scene.endpoints.stream().mapToInt((endpoint) -> endpoint.ledger().size()).sum();
			int burst = 10;
			assertThat(runs).isLessThanOrEqualTo(requests + requests / 10 + burst);
		}
	}

	private static final class Scene implements AutoCloseable {

		private final RequestPathFixture path = new RequestPathFixture();

		private final LoopbackEntry entry = this.path.entry("entry-1");

		private final List<EndpointStandIn> endpoints = new ArrayList<>();

		private final List<LoopbackAgent> agents = new ArrayList<>();

		private final PostLoad load = new PostLoad(this.path);

		private Scene(int agentCount) {
			for (int index = 0; index < agentCount; index++) {
				EndpointStandIn endpoint = this.path.endpoint();
				endpoint.setServiceTime(Duration.ofMillis(50));
				this.endpoints.add(endpoint);
				this.agents.add(this.path.agent("agent-" + index, "bkk-" + index, endpoint, this.entry));
			}
		}

		private void sendUntilUsed(EndpointStandIn endpoint, int runsBefore) {
			for (int round = 0; round < 100 && endpoint.ledger().size() == runsBefore; round++) {
				this.load.send(this.entry, 10);
				this.load.awaitAnswers();
			}
			assertThat(endpoint.ledger()).hasSizeGreaterThan(runsBefore);
		}

		@Override
		public void close() throws java.io.IOException {
			this.path.close();
		}

	}

}

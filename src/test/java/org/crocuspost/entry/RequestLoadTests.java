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
 * Tests planned stops, leaving and dying agents, failing endpoints, failure domains out
 * of service, and overload while requests are in flight.
 */
class RequestLoadTests {

	private static final int SLOTS = 8;

	@Test
	void leavingAgentInterruptsNoRequest() throws Exception {
		try (LoadedCluster cluster = new LoadedCluster(2)) {
			cluster.load.send(cluster.entry, 16);
			CompletableFuture<Void> drained = cluster.agents.get(0).admission.drain().toCompletableFuture();
			cluster.load.send(cluster.entry, 4);
			cluster.load.awaitResponses();
			drained.get(20, java.util.concurrent.TimeUnit.SECONDS);
			int runsBefore = cluster.endpoints.get(0).executedRequests().size();
			cluster.load.send(cluster.entry, 20);
			cluster.load.awaitResponses();
			assertThat(cluster.load.countByVerdict()).containsOnlyKeys("ran");
			assertThat(cluster.endpoints.get(0).executedRequests()).hasSize(runsBefore);
			cluster.load.assertVerdictsMatchEndpoints(cluster.endpoints);
		}
	}

	@Test
	void drainingEntryInterruptsNoRequest() throws Exception {
		try (LoadedCluster cluster = new LoadedCluster(2)) {
			cluster.load.send(cluster.entry, 10);
			CompletableFuture<Void> drained = cluster.entry.drain().toCompletableFuture();
			cluster.load.send(cluster.entry, 10);
			drained.get(20, java.util.concurrent.TimeUnit.SECONDS);
			cluster.load.awaitResponses();
			assertThat(cluster.load.countByVerdict()).containsOnlyKeys("ran");
		}
	}

	@Test
	void failureDomainOutOfServiceGetsNoRequestsUntilReturnedToService() throws Exception {
		try (LoadedCluster cluster = new LoadedCluster(3)) {
			cluster.load.send(cluster.entry, 12);
			cluster.path.configuration.set(RequestPathFixture.configuration(Set.of(), Set.of("bkk-0")));
			cluster.load.awaitResponses();
			int runsBefore = cluster.endpoints.get(0).executedRequests().size();
			cluster.load.send(cluster.entry, 30);
			cluster.load.awaitResponses();
			assertThat(cluster.endpoints.get(0).executedRequests()).hasSize(runsBefore);
			cluster.path.configuration.set(RequestPathFixture.configuration(Set.of(), Set.of()));
			cluster.sendUntilUsed(cluster.endpoints.get(0), runsBefore);
			assertThat(cluster.load.countByVerdict()).containsOnlyKeys("ran");
			cluster.load.assertVerdictsMatchEndpoints(cluster.endpoints);
		}
	}

	@Test
	void agentThatDiesUnderLoadCausesNoFalseVerdict() throws Exception {
		try (LoadedCluster cluster = new LoadedCluster(3)) {
			cluster.load.send(cluster.entry, 24, "Crocuspost-Deadline-Milliseconds", "2000");
			cluster.path.await(() -> cluster.endpoints.get(0).running() > 0);
			cluster.agents.get(0).kill();
			cluster.load.send(cluster.entry, 24, "Crocuspost-Deadline-Milliseconds", "2000");
			cluster.load.awaitResponses();
			cluster.load.assertVerdictsMatchEndpoints(cluster.endpoints);
			assertThat(cluster.load.countByVerdict()).containsKey("ran");
		}
	}

	@ParameterizedTest
	@ValueSource(ints = { 2, 5 })
	void overloadIsRefusedAsNotRunAndSlotLimitIsKept(int factor) throws Exception {
		try (LoadedCluster cluster = new LoadedCluster(2)) {
			cluster.load.send(cluster.entry, factor * 2 * 3 * SLOTS, "Crocuspost-Deadline-Milliseconds", "1000");
			cluster.load.awaitResponses();
			cluster.load.assertVerdictsMatchEndpoints(cluster.endpoints);
			assertThat(cluster.load.countByVerdict()).containsOnlyKeys("ran", "not-run");
			assertThat(cluster.load.okCount()).isGreaterThanOrEqualTo(2 * SLOTS);
			assertThat(cluster.endpoints).allMatch((endpoint) -> endpoint.maxRunning() <= SLOTS);
		}
	}

	@Test
	void slotLimitIsKeptWhenSeveralEntriesSend() throws Exception {
		try (RequestPathFixture path = new RequestPathFixture()) {
			LoopbackEntry firstEntry = path.entry("entry-1");
			LoopbackEntry secondEntry = path.entry("entry-2");
			EndpointStandIn endpoint = path.endpoint();
			endpoint.setServiceTime(Duration.ofMillis(50));
			path.agent("agent-1", endpoint, firstEntry, secondEntry);
			NonIdempotentLoad load = new NonIdempotentLoad(path);
			load.send(firstEntry, 3 * SLOTS, "Crocuspost-Deadline-Milliseconds", "1000");
			load.send(secondEntry, 3 * SLOTS, "Crocuspost-Deadline-Milliseconds", "1000");
			load.awaitResponses();
			load.assertVerdictsMatchEndpoints(List.of(endpoint));
			assertThat(endpoint.maxRunning()).isLessThanOrEqualTo(SLOTS);
			assertThat(load.countByVerdict()).containsOnlyKeys("ran", "not-run");
		}
	}

	@Test
	void endpointThatFailsFastDoesNotAttractRequests() throws Exception {
		try (LoadedCluster cluster = new LoadedCluster(4)) {
			cluster.endpoints.forEach((endpoint) -> endpoint.setServiceTime(Duration.ofMillis(5)));
			cluster.endpoints.get(0).setServiceTime(Duration.ZERO);
			cluster.endpoints.get(0).setFault(EndpointFault.ERROR);
			for (int round = 0; round < 50; round++) {
				cluster.load.send(cluster.entry, 4);
				cluster.load.awaitResponses();
			}
			assertThat(cluster.endpoints.get(0).executedRequests().size()).isLessThan(200 / 4);
			cluster.load.assertVerdictsMatchEndpoints(cluster.endpoints);
		}
	}

	@Test
	void retriesStayWithinTheRetryBudgetWhenAllEndpointsFail() throws Exception {
		try (LoadedCluster cluster = new LoadedCluster(3)) {
			cluster.endpoints.forEach((endpoint) -> endpoint.setServiceTime(Duration.ZERO));
			cluster.endpoints.forEach((endpoint) -> endpoint.setFault(EndpointFault.RESET_DURING));
			int requests = 200;
			for (int count = 0; count < requests; count++) {
				RequestPathFixture.get(cluster.path.send(cluster.entry, "GET", ""));
			}
			int runs = cluster.endpoints.stream().mapToInt((endpoint) -> endpoint.executedRequests().size()).sum();
			int burst = 10;
			assertThat(runs).isLessThanOrEqualTo(requests + requests / 10 + burst);
		}
	}

	private static final class LoadedCluster implements AutoCloseable {

		private final RequestPathFixture path = new RequestPathFixture();

		private final LoopbackEntry entry = this.path.entry("entry-1");

		private final List<EndpointStandIn> endpoints = new ArrayList<>();

		private final List<LoopbackAgent> agents = new ArrayList<>();

		private final NonIdempotentLoad load = new NonIdempotentLoad(this.path);

		private LoadedCluster(int agentCount) {
			for (int index = 0; index < agentCount; index++) {
				EndpointStandIn endpoint = this.path.endpoint();
				endpoint.setServiceTime(Duration.ofMillis(50));
				this.endpoints.add(endpoint);
				this.agents.add(this.path.agent("agent-" + index, "bkk-" + index, endpoint, this.entry));
			}
		}

		private void sendUntilUsed(EndpointStandIn endpoint, int runsBefore) {
			for (int round = 0; round < 100 && endpoint.executedRequests().size() == runsBefore; round++) {
				this.load.send(this.entry, 10);
				this.load.awaitResponses();
			}
			assertThat(endpoint.executedRequests()).hasSizeGreaterThan(runsBefore);
		}

		@Override
		public void close() throws java.io.IOException {
			this.path.close();
		}

	}

}

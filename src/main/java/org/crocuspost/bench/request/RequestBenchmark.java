package org.crocuspost.bench.request;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Random;

import org.crocuspost.routing.ExpectedTimePolicy;
import org.crocuspost.routing.LeastOutstandingPolicy;
import org.crocuspost.routing.RoundRobinPolicy;
import org.crocuspost.routing.RoutingPolicy;

/**
 * Measures the request path and prints tables in Markdown. The arguments are names of
 * scenarios; without arguments, all scenarios are run.
 */
public final class RequestBenchmark {

	private static final int ENDPOINTS = 11;

	private static final Duration SERVICE_TIME = Duration.ofMillis(50);

	private static final int SLOWDOWN_FACTOR = 10;

	private static final Duration WARM_UP_DURATION = Duration.ofSeconds(4);

	private static final Duration MEASUREMENT_DURATION = Duration.ofSeconds(8);

	private static final Duration SETTLING_DURATION = Duration.ofSeconds(3);

	private static final Duration DEADLINE = Duration.ofSeconds(1);

	private static final double CAPACITY_PER_SECOND = ENDPOINTS * BenchmarkCluster.SLOTS_PER_ENDPOINT * 1000.0
			/ SERVICE_TIME.toMillis();

	private static final double OVERHEAD_REQUESTS_PER_SECOND = 400;

	private static final String TABLE_HEADER = "| case | answered | refused | failed | p50 ms | p99 ms | p99.9 ms |\n"
			+ "| --- | --- | --- | --- | --- | --- | --- |";

	private final Map<String, Runnable> scenarios = new LinkedHashMap<>();

	private RequestBenchmark() {
		this.scenarios.put("slow", this::slowEndpoint);
		this.scenarios.put("overload", this::overload);
		this.scenarios.put("leave", this::drainEndpoints);
		this.scenarios.put("overhead", this::overhead);
	}

	/**
	 * Runs the benchmark.
	 * @param arguments the names of the scenarios to run; empty for all
	 */
	public static void main(String[] arguments) {
		RequestBenchmark benchmark = new RequestBenchmark();
		benchmark.scenarios.forEach((name, scenario) -> {
			if (arguments.length == 0 || java.util.List.of(arguments).contains(name)) {
				print("\n" + name + "\n");
				print(TABLE_HEADER);
				scenario.run();
			}
		});
		System.exit(0);
	}

	private static void print(String line) {
		System.out.println(line);
	}

	private static RoutingPolicy expectedTimePolicy() {
		return new ExpectedTimePolicy("domain-0", Duration.ofMillis(2), new Random(1));
	}

	private void slowEndpoint() {
		LoadResult roundRobin = slowEndpoint("round robin, POST", new RoundRobinPolicy(), "POST");
		slowEndpoint("least outstanding, POST", new LeastOutstandingPolicy(), "POST");
		LoadResult expected = slowEndpoint("expected time, POST", expectedTimePolicy(), "POST");
		slowEndpoint("expected time with hedging, GET", expectedTimePolicy(), "GET");
		print(String.format("p99 of expected time / round robin: %.2f",
				expected.latencyMilliseconds(99) / roundRobin.latencyMilliseconds(99)));
	}

	private static LoadResult slowEndpoint(String name, RoutingPolicy policy, String method) {
		try (BenchmarkCluster cluster = new BenchmarkCluster(ENDPOINTS, SERVICE_TIME, policy)) {
			cluster.endpoint(0).setServiceTime(SERVICE_TIME.multipliedBy(SLOWDOWN_FACTOR));
			OpenLoopLoad load = new OpenLoopLoad(cluster.callerAddress(), method, CAPACITY_PER_SECOND / 2);
			load.run(WARM_UP_DURATION);
			LoadResult result = load.run(MEASUREMENT_DURATION);
			print(result.markdownRow(name));
			return result;
		}
	}

	private void overload() {
		for (double factor : new double[] { 0.5, 2, 3 }) {
			try (BenchmarkCluster cluster = new BenchmarkCluster(ENDPOINTS, SERVICE_TIME, expectedTimePolicy())) {
				OpenLoopLoad load = new OpenLoopLoad(cluster.callerAddress(), "POST", factor * CAPACITY_PER_SECOND);
				load.run(WARM_UP_DURATION);
				LoadResult result = load.run(MEASUREMENT_DURATION);
				print(result.markdownRow(factor + " x capacity"));
				print(String.format("goodput / capacity: %.2f",
						result.goodputPerSecond(DEADLINE) / CAPACITY_PER_SECOND));
			}
		}
	}

	private void drainEndpoints() {
		try (BenchmarkCluster cluster = new BenchmarkCluster(ENDPOINTS, SERVICE_TIME, expectedTimePolicy())) {
			OpenLoopLoad load = new OpenLoopLoad(cluster.callerAddress(), "POST", CAPACITY_PER_SECOND / 2);
			load.run(WARM_UP_DURATION);
			LoadResult before = load.run(MEASUREMENT_DURATION);
			print(before.markdownRow("before"));
			for (int index = 0; index < ENDPOINTS; index += 4) {
				cluster.admissionController(index).drain();
			}
			print(load.run(SETTLING_DURATION).markdownRow("first 3 s after three endpoints leave"));
			int requestsBefore = cluster.endpoint(0).executedRequests().size();
			LoadResult after = load.run(MEASUREMENT_DURATION);
			print(after.markdownRow("after"));
			print(String.format("p99 after / before: %.2f; requests to a leaving endpoint after 3 s: %d",
					after.latencyMilliseconds(99) / before.latencyMilliseconds(99),
					cluster.endpoint(0).executedRequests().size() - requestsBefore));
		}
	}

	private void overhead() {
		try (BenchmarkCluster cluster = new BenchmarkCluster(ENDPOINTS, Duration.ZERO, expectedTimePolicy())) {
			OpenLoopLoad direct = new OpenLoopLoad(cluster.endpoint(0).address(), "POST", OVERHEAD_REQUESTS_PER_SECOND);
			OpenLoopLoad viaEntry = new OpenLoopLoad(cluster.callerAddress(), "POST", OVERHEAD_REQUESTS_PER_SECOND);
			direct.run(WARM_UP_DURATION);
			viaEntry.run(WARM_UP_DURATION);
			LoadResult directResult = direct.run(MEASUREMENT_DURATION);
			LoadResult viaEntryResult = viaEntry.run(MEASUREMENT_DURATION);
			print(directResult.markdownRow("direct"));
			print(viaEntryResult.markdownRow("through entry and agent"));
			print(String.format("through / direct: p50 %.1f, p99 %.1f",
					viaEntryResult.latencyMilliseconds(50) / directResult.latencyMilliseconds(50),
					viaEntryResult.latencyMilliseconds(99) / directResult.latencyMilliseconds(99)));
		}
	}

}

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
 * Measures the request path. Prints tables in Markdown; names of scenarios are given as
 * arguments, without any all are run.
 */
public final class RequestBenchmark {

	private static final int ENDPOINTS = 11;

	private static final Duration SERVICE_TIME = Duration.ofMillis(50);

	private static final int SLOWDOWN = 10;

	private static final Duration WARM_UP = Duration.ofSeconds(4);

	private static final Duration MEASURED = Duration.ofSeconds(8);

	private static final Duration SETTLING = Duration.ofSeconds(3);

	private static final Duration DEADLINE = Duration.ofSeconds(1);

	private static final double CAPACITY = ENDPOINTS * BenchmarkCluster.SLOTS * 1000.0 / SERVICE_TIME.toMillis();

	private static final double OVERHEAD_RATE = 400;

	private static final String HEADER = "| case | answered | refused | failed | p50 ms | p99 ms | p99.9 ms |\n"
			+ "| --- | --- | --- | --- | --- | --- | --- |";

	private final Map<String, Runnable> scenarios = new LinkedHashMap<>();

	private RequestBenchmark() {
		this.scenarios.put("slow", this::slowEndpoint);
		this.scenarios.put("overload", this::overload);
		this.scenarios.put("leave", this::leave);
		this.scenarios.put("overhead", this::overhead);
	}

	/**
	 * Runs the benchmark.
	 * @param arguments names of scenarios
	 */
	public static void main(String[] arguments) {
		RequestBenchmark benchmark = new RequestBenchmark();
		benchmark.scenarios.forEach((name, scenario) -> {
			if (arguments.length == 0 || java.util.List.of(arguments).contains(name)) {
				print("\n" + name + "\n");
				print(HEADER);
				scenario.run();
			}
		});
		System.exit(0);
	}

	private static void print(String line) {
		System.out.println(line);
	}

	private static RoutingPolicy expectedTime() {
		return new ExpectedTimePolicy("domain-0", Duration.ofMillis(2), new Random(1));
	}

	private void slowEndpoint() {
		LoadResult roundRobin = slowEndpoint("round robin, POST", new RoundRobinPolicy(), "POST");
		slowEndpoint("least outstanding, POST", new LeastOutstandingPolicy(), "POST");
		LoadResult expected = slowEndpoint("expected time, POST", expectedTime(), "POST");
		slowEndpoint("expected time with hedging, GET", expectedTime(), "GET");
		print(String.format("p99 of expected time / round robin: %.2f",
				expected.milliseconds(99) / roundRobin.milliseconds(99)));
	}

	private static LoadResult slowEndpoint(String name, RoutingPolicy policy, String method) {
		try (BenchmarkCluster cluster = new BenchmarkCluster(ENDPOINTS, SERVICE_TIME, policy)) {
			cluster.endpoint(0).setServiceTime(SERVICE_TIME.multipliedBy(SLOWDOWN));
			OpenLoopLoad load = new OpenLoopLoad(cluster.callerAddress(), method, CAPACITY / 2);
			load.run(WARM_UP);
			LoadResult result = load.run(MEASURED);
			print(result.row(name));
			return result;
		}
	}

	private void overload() {
		for (double factor : new double[] { 0.5, 2, 3 }) {
			try (BenchmarkCluster cluster = new BenchmarkCluster(ENDPOINTS, SERVICE_TIME, expectedTime())) {
				OpenLoopLoad load = new OpenLoopLoad(cluster.callerAddress(), "POST", factor * CAPACITY);
				load.run(WARM_UP);
				LoadResult result = load.run(MEASURED);
				print(result.row(factor + " x capacity"));
				print(String.format("goodput / capacity: %.2f", result.goodPerSecond(DEADLINE) / CAPACITY));
			}
		}
	}

	private void leave() {
		try (BenchmarkCluster cluster = new BenchmarkCluster(ENDPOINTS, SERVICE_TIME, expectedTime())) {
			OpenLoopLoad load = new OpenLoopLoad(cluster.callerAddress(), "POST", CAPACITY / 2);
			load.run(WARM_UP);
			LoadResult before = load.run(MEASURED);
			print(before.row("before"));
			for (int index = 0; index < ENDPOINTS; index += 4) {
				cluster.gate(index).drain();
			}
			print(load.run(SETTLING).row("first 3 s after three endpoints leave"));
			int ran = cluster.endpoint(0).ledger().size();
			LoadResult after = load.run(MEASURED);
			print(after.row("after"));
			print(String.format("p99 after / before: %.2f; requests to a leaving endpoint after 3 s: %d",
					after.milliseconds(99) / before.milliseconds(99), cluster.endpoint(0).ledger().size() - ran));
		}
	}

	private void overhead() {
		try (BenchmarkCluster cluster = new BenchmarkCluster(ENDPOINTS, Duration.ZERO, expectedTime())) {
			OpenLoopLoad direct = new OpenLoopLoad(cluster.endpoint(0).address(), "POST", OVERHEAD_RATE);
			OpenLoopLoad through = new OpenLoopLoad(cluster.callerAddress(), "POST", OVERHEAD_RATE);
			direct.run(WARM_UP);
			through.run(WARM_UP);
			LoadResult directResult = direct.run(MEASURED);
			LoadResult throughResult = through.run(MEASURED);
			print(directResult.row("direct"));
			print(throughResult.row("through entry and agent"));
			print(String.format("through / direct: p50 %.1f, p99 %.1f",
					throughResult.milliseconds(50) / directResult.milliseconds(50),
					throughResult.milliseconds(99) / directResult.milliseconds(99)));
		}
	}

}

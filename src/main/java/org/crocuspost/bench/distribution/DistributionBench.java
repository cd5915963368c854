package org.crocuspost.bench.distribution;

import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

import io.netty.channel.nio.NioEventLoopGroup;
import org.HdrHistogram.Histogram;
import org.crocuspost.distribution.InForceStatus;
import org.crocuspost.peer.DeploymentSecret;
import org.crocuspost.release.NoteOutcome;
import org.crocuspost.standin.objects.ObjectStandIn;
import org.crocuspost.standin.table.TableStandIn;
import org.crocuspost.time.ExecutorTimer;
import org.crocuspost.time.SystemClock;

/**
 * Measures how long an accepted note takes until each of 860 agents acts on it and until
 * it is known to be in force everywhere, one note at a time and in a burst, and the bytes
 * for each agent. All processes are stand-ins in one JVM, over loopback connections.
 */
public final class DistributionBench {

	private static final int AGENTS = 860;

	private static final int ENTRIES = 6;

	private static final int CONNECTIONS = 4;

	private static final int DOMAINS = 7;

	private static final int SINGLE_NOTES = 20;

	private static final int BURST_NOTES = 100;

	private static final Duration BURST = Duration.ofMinutes(1);

	private static final Duration POLL = Duration.ofMillis(50);

	private static final Duration LONGEST_WAIT = Duration.ofSeconds(30);

	private static final Duration PING_INTERVAL = Duration.ofMillis(500);

	private static final double MICROS_PER_SECOND = 1e6;

	private final SystemClock clock = new SystemClock();

	private final ScheduledExecutorService threads = Executors.newScheduledThreadPool(8);

	private final ExecutorTimer timer = new ExecutorTimer(this.threads);

	private final TableStandIn table = new TableStandIn();

	private final ObjectStandIn objects = new ObjectStandIn();

	private final AdoptionTimes times = new AdoptionTimes(this.clock);

	private final List<BenchEntry> entries = new ArrayList<>();

	private final List<StandInAgent> agents = new ArrayList<>();

	private final NioEventLoopGroup network = new NioEventLoopGroup(4);

	private long version;

	private DistributionBench() {
	}

	/**
	 * Runs the benchmark and prints the figures.
	 * @param arguments unused
	 * @throws InterruptedException if the benchmark is interrupted
	 */
	public static void main(String[] arguments) throws InterruptedException {
		new DistributionBench().run(System.err);
		System.exit(0);
	}

	private void run(PrintStream output) throws InterruptedException {
		start();
		submit("\"added\": {\"services\": {\"service\": {\"match\": {\"pathPrefix\": \"/service\"}, "
				+ "\"timeout\": \"PT1S\", \"objective\": {\"latency\": \"PT0.1S\", \"latencyQuantile\": 0.99, "
				+ "\"availability\": 0.999}}}}");
		awaitAgents((agent) -> agent.version() >= this.version);
		print(output, "first version of agents that have just connected", this.times.histogram());
		output.printf("agents %d, entries %d, connections %d%n", AGENTS, ENTRIES,
				this.agents.stream().mapToInt(StandInAgent::connections).sum());
		this.times.histogram().reset();
		measureSingle(output);
		this.times.histogram().reset();
		measureBurst(output);
		output.printf(Locale.ROOT, "agents that may start tasks at the end: %d%n",
				this.agents.stream().filter(StandInAgent::allowsStarts).count());
	}

	private void start() throws InterruptedException {
		DeploymentSecret secret = new DeploymentSecret("secret-of-the-benchmark");
		for (int index = 0; index < ENTRIES; index++) {
			this.entries.add(new BenchEntry("entry-" + index, this.table, this.objects, secret, this.network,
					this.clock, this.timer, this.threads));
		}
		for (int index = 0; index < AGENTS; index++) {
			StandInAgent agent = new StandInAgent("agent-" + index, "service", this.clock, this.times);
			agent.connect("zone-" + index % DOMAINS, addresses(index), this.network, secret, this.timer);
			this.agents.add(agent);
		}
		awaitAgents((agent) -> agent.connections() == CONNECTIONS);
	}

	private void awaitAgents(Predicate<StandInAgent> condition) throws InterruptedException {
		long deadline = this.clock.nanoTime() + LONGEST_WAIT.toNanos();
		while (!this.agents.stream().allMatch(condition)) {
			if (this.clock.nanoTime() > deadline) {
				throw new IllegalStateException("the agents are not ready in time");
			}
			pause(POLL);
		}
	}

	private List<InetSocketAddress> addresses(int agent) {
		List<InetSocketAddress> result = new ArrayList<>();
		for (int offset = 0; offset < CONNECTIONS; offset++) {
			result.add(this.entries.get((agent + offset) % ENTRIES).address());
		}
		return result;
	}

	private void measureSingle(PrintStream output) throws InterruptedException {
		Histogram known = new Histogram(3);
		Traffic before = traffic();
		long begun = this.clock.nanoTime();
		for (int index = 0; index < SINGLE_NOTES; index++) {
			long submitted = this.clock.nanoTime();
			submit(sections(index));
			awaitInForce();
			known.recordValue(TimeUnit.NANOSECONDS.toMicros(this.clock.nanoTime() - submitted));
		}
		print(output, "one note at a time, agent acts on it", this.times.histogram());
		print(output, "one note at a time, known to be in force everywhere", known);
		print(output, "one note at a time", before, this.clock.nanoTime() - begun);
	}

	private void measureBurst(PrintStream output) throws InterruptedException {
		Traffic before = traffic();
		long begun = this.clock.nanoTime();
		for (int index = 0; index < BURST_NOTES; index++) {
			long due = begun + BURST.toNanos() / BURST_NOTES * index;
			pause(Duration.ofNanos(Math.max(1, due - this.clock.nanoTime())));
			submit(sections(index));
		}
		long last = this.clock.nanoTime();
		awaitInForce();
		output.printf(Locale.ROOT, "burst of %d notes in a minute, last note known to be in force after %.3f s%n",
				BURST_NOTES, (this.clock.nanoTime() - last) / 1e9);
		print(output, "burst, agent acts on it", this.times.histogram());
		print(output, "burst", before, this.clock.nanoTime() - begun);
	}

	private static String sections(int index) {
		return switch (index % 4) {
			case 0 -> "\"domains\": {\"out\": [\"zone-1\"]}";
			case 1 -> "\"domains\": {\"back\": [\"zone-1\"]}";
			case 2 -> "\"withdrawn\": {\"endpoints\": [\"agent-7-endpoint\"]}";
			default -> "\"added\": {\"endpoints\": [\"agent-7-endpoint\"]}";
		};
	}

	// Operators reach any entry; each note goes to another one.
	private void submit(String sections) {
		BenchEntry entry = this.entries.get((int) (this.version % ENTRIES));
		this.times.submitted(this.version + 1, this.clock.nanoTime());
		String text = "{\"id\": \"note-" + this.version + "\", \"basedOn\": " + this.version + ", " + sections + "}";
		NoteOutcome outcome = entry.acceptance().submit(text);
		if (!(outcome instanceof NoteOutcome.Accepted)) {
			throw new IllegalStateException("not accepted: " + outcome);
		}
		this.version++;
	}

	private void awaitInForce() throws InterruptedException {
		long deadline = this.clock.nanoTime() + LONGEST_WAIT.toNanos();
		while (this.clock.nanoTime() < deadline) {
			InForceStatus inForce = InForceStatus.of(this.version, this.entries.get(0).directory().read().get());
			if (inForce.inForce()) {
				return;
			}
			pause(POLL);
		}
		throw new IllegalStateException("not in force in time");
	}

	private static void pause(Duration duration) throws InterruptedException {
		new CountDownLatch(1).await(duration.toNanos(), TimeUnit.NANOSECONDS);
	}

	private Traffic traffic() {
		long frames = this.agents.stream().mapToLong((agent) -> agent.meter().frames()).sum()
				+ this.entries.stream().mapToLong((entry) -> entry.meter().frames()).sum();
		long bytes = this.agents.stream().mapToLong((agent) -> agent.meter().bytes()).sum()
				+ this.entries.stream().mapToLong((entry) -> entry.meter().bytes()).sum();
		return new Traffic(frames, bytes, this.table.counts().toString());
	}

	private static void print(PrintStream output, String title, Histogram micros) {
		output.printf(Locale.ROOT, "%s: p50 %.3f s, p99 %.3f s, max %.3f s, %d values%n", title,
				micros.getValueAtPercentile(50) / MICROS_PER_SECOND,
				micros.getValueAtPercentile(99) / MICROS_PER_SECOND, micros.getMaxValue() / MICROS_PER_SECOND,
				micros.getTotalCount());
	}

	private void print(PrintStream output, String title, Traffic before, long nanos) {
		Traffic after = traffic();
		double seconds = nanos / 1e9;
		double frames = (after.frames() - before.frames()) / seconds / AGENTS;
		double bytes = (after.bytes() - before.bytes()) / seconds / AGENTS;
		// Both ends ping.
		double pings = 2.0 * CONNECTIONS * Duration.ofSeconds(1).toMillis() / PING_INTERVAL.toMillis();
		double pingBytes = pings * TrafficMeter.pingAndPongBytes();
		double headers = (frames + 2 * pings) * TrafficMeter.HEADER_BYTES;
		output.printf(Locale.ROOT,
				"%s: each agent %.1f frames/s with %.0f B/s measured, pings %.0f B/s and headers %.0f B/s worked out, "
						+ "together %.0f B/s%n",
				title, frames, bytes, pingBytes, headers, bytes + pingBytes + headers);
		output.printf("%s: store before %s, after %s%n", title, before.store(), after.store());
	}

	private record Traffic(long frames, long bytes, String store) {
	}

}

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
 * Measures how long an accepted release note takes until each of 860 agents acts on it
 * and until it is confirmed to be in force everywhere, for one note at a time and for a
 * burst. Also measures the bytes per agent. Entries and agents are reduced to the parts
 * involved, run in one JVM on stand-ins of the platform services and are connected over
 * loopback.
 */
public final class DistributionBenchmark {

	private static final int AGENT_COUNT = 860;

	private static final int ENTRY_COUNT = 6;

	private static final int CONNECTIONS_PER_AGENT = 4;

	private static final int FAILURE_DOMAINS = 7;

	private static final int SINGLE_NOTES = 20;

	private static final int BURST_NOTES = 100;

	private static final Duration BURST_DURATION = Duration.ofMinutes(1);

	private static final Duration POLL_INTERVAL = Duration.ofMillis(50);

	private static final Duration MAXIMUM_WAIT = Duration.ofSeconds(30);

	private static final Duration PING_INTERVAL = Duration.ofMillis(500);

	private static final double MICROSECONDS_PER_SECOND = 1e6;

	private final SystemClock clock = new SystemClock();

	private final ScheduledExecutorService executor = Executors.newScheduledThreadPool(8);

	private final ExecutorTimer timer = new ExecutorTimer(this.executor);

	private final TableStandIn table = new TableStandIn();

	private final ObjectStandIn objects = new ObjectStandIn();

	private final AdoptionTimes adoptionTimes = new AdoptionTimes(this.clock);

	private final List<BenchmarkEntry> entries = new ArrayList<>();

	private final List<SimulatedAgent> agents = new ArrayList<>();

	private final NioEventLoopGroup eventLoopGroup = new NioEventLoopGroup(4);

	private long version;

	private DistributionBenchmark() {
	}

	/**
	 * Runs the benchmark and prints the figures to standard error.
	 * @param arguments unused
	 * @throws InterruptedException if the benchmark is interrupted
	 */
	public static void main(String[] arguments) throws InterruptedException {
		new DistributionBenchmark().run(System.err);
		System.exit(0);
	}

	private void run(PrintStream output) throws InterruptedException {
		startProcesses();
		submit("\"added\": {\"services\": {\"service\": {\"match\": {\"pathPrefix\": \"/service\"}, "
				+ "\"timeout\": \"PT1S\", \"objective\": {\"latency\": \"PT0.1S\", \"latencyQuantile\": 0.99, "
				+ "\"availability\": 0.999}}}}");
		awaitAgents((agent) -> agent.version() >= this.version);
		print(output, "first version of agents that have just connected", this.adoptionTimes.histogram());
		output.printf("agents %d, entries %d, connections %d%n", AGENT_COUNT, ENTRY_COUNT,
				this.agents.stream().mapToInt(SimulatedAgent::connections).sum());
		this.adoptionTimes.histogram().reset();
		measureSingleNotes(output);
		this.adoptionTimes.histogram().reset();
		measureBurst(output);
		output.printf(Locale.ROOT, "agents that may start tasks at the end: %d%n",
				this.agents.stream().filter(SimulatedAgent::allowsStarts).count());
	}

	private void startProcesses() throws InterruptedException {
		DeploymentSecret secret = new DeploymentSecret("secret-of-the-benchmark");
		for (int index = 0; index < ENTRY_COUNT; index++) {
			this.entries.add(new BenchmarkEntry("entry-" + index, this.table, this.objects, secret, this.eventLoopGroup,
					this.clock, this.timer, this.executor));
		}
		for (int index = 0; index < AGENT_COUNT; index++) {
			SimulatedAgent agent = new SimulatedAgent("agent-" + index, "service", this.clock, this.adoptionTimes);
			agent.connect("zone-" + index % FAILURE_DOMAINS, addresses(index), this.eventLoopGroup, secret, this.timer);
			this.agents.add(agent);
		}
		awaitAgents((agent) -> agent.connections() == CONNECTIONS_PER_AGENT);
	}

	private void awaitAgents(Predicate<SimulatedAgent> condition) throws InterruptedException {
		long deadline = this.clock.nanoTime() + MAXIMUM_WAIT.toNanos();
		while (!this.agents.stream().allMatch(condition)) {
			if (this.clock.nanoTime() > deadline) {
				throw new IllegalStateException("the agents did not become ready in time");
			}
			pause(POLL_INTERVAL);
		}
	}

	private List<InetSocketAddress> addresses(int agent) {
		List<InetSocketAddress> result = new ArrayList<>();
		for (int offset = 0; offset < CONNECTIONS_PER_AGENT; offset++) {
			result.add(this.entries.get((agent + offset) % ENTRY_COUNT).address());
		}
		return result;
	}

	private void measureSingleNotes(PrintStream output) throws InterruptedException {
		Histogram confirmationMicroseconds = new Histogram(3);
		Traffic before = traffic();
		long startedAt = this.clock.nanoTime();
		for (int index = 0; index < SINGLE_NOTES; index++) {
			long submittedAt = this.clock.nanoTime();
			submit(noteSections(index));
			awaitInForce();
			confirmationMicroseconds.recordValue(TimeUnit.NANOSECONDS.toMicros(this.clock.nanoTime() - submittedAt));
		}
		print(output, "one note at a time, agent acts on it", this.adoptionTimes.histogram());
		print(output, "one note at a time, known to be in force everywhere", confirmationMicroseconds);
		print(output, "one note at a time", before, this.clock.nanoTime() - startedAt);
	}

	private void measureBurst(PrintStream output) throws InterruptedException {
		Traffic before = traffic();
		long startedAt = this.clock.nanoTime();
		for (int index = 0; index < BURST_NOTES; index++) {
			long dueAt = startedAt + BURST_DURATION.toNanos() / BURST_NOTES * index;
			pause(Duration.ofNanos(Math.max(1, dueAt - this.clock.nanoTime())));
			submit(noteSections(index));
		}
		long lastSubmittedAt = this.clock.nanoTime();
		awaitInForce();
		output.printf(Locale.ROOT, "burst of %d notes in a minute, last note known to be in force after %.3f s%n",
				BURST_NOTES, (this.clock.nanoTime() - lastSubmittedAt) / 1e9);
		print(output, "burst, agent acts on it", this.adoptionTimes.histogram());
		print(output, "burst", before, this.clock.nanoTime() - startedAt);
	}

	private static String noteSections(int index) {
		return switch (index % 4) {
			case 0 -> "\"domains\": {\"out\": [\"zone-1\"]}";
			case 1 -> "\"domains\": {\"back\": [\"zone-1\"]}";
			case 2 -> "\"withdrawn\": {\"endpoints\": [\"agent-7-endpoint\"]}";
			default -> "\"added\": {\"endpoints\": [\"agent-7-endpoint\"]}";
		};
	}

	// Operators may submit to any entry, so consecutive notes go to different entries.
	private void submit(String sections) {
		BenchmarkEntry entry = this.entries.get((int) (this.version % ENTRY_COUNT));
		this.adoptionTimes.recordSubmission(this.version + 1, this.clock.nanoTime());
		String text = "{\"id\": \"note-" + this.version + "\", \"basedOn\": " + this.version + ", " + sections + "}";
		NoteOutcome outcome = entry.acceptance().submit(text);
		if (!(outcome instanceof NoteOutcome.Accepted)) {
			throw new IllegalStateException("release note not accepted: " + outcome);
		}
		this.version++;
	}

	private void awaitInForce() throws InterruptedException {
		long deadline = this.clock.nanoTime() + MAXIMUM_WAIT.toNanos();
		while (this.clock.nanoTime() < deadline) {
			InForceStatus inForce = InForceStatus.of(this.version, this.entries.get(0).directory().read().get());
			if (inForce.inForce()) {
				return;
			}
			pause(POLL_INTERVAL);
		}
		throw new IllegalStateException("the release note did not come into force everywhere in time");
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

	private static void print(PrintStream output, String title, Histogram microseconds) {
		output.printf(Locale.ROOT, "%s: p50 %.3f s, p99 %.3f s, max %.3f s, %d values%n", title,
				microseconds.getValueAtPercentile(50) / MICROSECONDS_PER_SECOND,
				microseconds.getValueAtPercentile(99) / MICROSECONDS_PER_SECOND,
				microseconds.getMaxValue() / MICROSECONDS_PER_SECOND, microseconds.getTotalCount());
	}

	private void print(PrintStream output, String title, Traffic before, long elapsedNanoseconds) {
		Traffic after = traffic();
		double seconds = elapsedNanoseconds / 1e9;
		double frames = (after.frames() - before.frames()) / seconds / AGENT_COUNT;
		double bytes = (after.bytes() - before.bytes()) / seconds / AGENT_COUNT;
		// Both ends of a connection send pings.
		double pings = 2.0 * CONNECTIONS_PER_AGENT * Duration.ofSeconds(1).toMillis() / PING_INTERVAL.toMillis();
		double pingBytes = pings * TrafficMeter.pingAndPongBytes();
		double headers = (frames + 2 * pings) * TrafficMeter.HEADER_BYTES;
		output.printf(Locale.ROOT,
				"%s: each agent %.1f frames/s with %.0f B/s measured, pings %.0f B/s and headers %.0f B/s worked out, "
						+ "together %.0f B/s%n",
				title, frames, bytes, pingBytes, headers, bytes + pingBytes + headers);
		output.printf("%s: store before %s, after %s%n", title, before.storeCounts(), after.storeCounts());
	}

	private record Traffic(long frames, long bytes, String storeCounts) {
	}

}

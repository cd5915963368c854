package org.crocuspost.interference;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

import org.crocuspost.configuration.ServiceObjective;
import org.crocuspost.log.EventLog;
import org.crocuspost.log.Field;
import org.crocuspost.platform.worker.AttemptKey;
import org.crocuspost.platform.worker.Resources;
import org.crocuspost.time.Clock;

/**
 * Keeps the batch work on one worker from slowing the service down.
 *
 * <p>
 * It decides on what the fleet and the worker know together. What it reports rests on the
 * worker's own measurements alone, or else a rumour would confirm itself.
 *
 * <p>
 * Each interval it learns from the latencies ({@link SlowdownModel}), shares the
 * tolerated slowdown out among the attempts ({@link ThrottlePlanner}) and sets throttles:
 * down at once, up by small steps. If the tail nears the objective all the same, the
 * tolerated slowdown is halved each interval and recovers additively. An attempt that is
 * held at the least share for long is proposed for eviction, the one with the strongest
 * evidence first. Not safe for use by several threads, but for the latency window.
 */
public final class InterferenceController {

	private static final double LEAST_ALLOWANCE = 0.02;

	private static final double ALLOWANCE_RECOVERY = 0.02;

	private static final double CAUTION_WITH_ROOM = 0.25;

	private static final double CAUTION_WITHOUT_ROOM = 1;

	private final InterferenceSettings settings;

	private final Clock clock;

	private final Resources capacity;

	private final ServiceLatencyWindow window;

	private final ControlledAttempts attempts;

	private final ThrottleControl throttles;

	private final EvictionRequests evictions;

	private final EvictionBudget budget;

	private final ThrottlePlanner planner;

	private final SlowdownModel model;

	private final SlowdownModel ownModel = new SlowdownModel(EffectPriors.NONE);

	private final Map<AttemptKey, Throttled> throttled = new HashMap<>();

	private double allowance = 1;

	private volatile double pressure;

	private volatile List<PairObservation> observations = List.of();

	/**
	 * Creates a controller for one worker.
	 * @param settings the settings
	 * @param clock tells the elapsed time
	 * @param capacity the capacity of the worker
	 * @param window the latencies of the service
	 * @param priors what the fleet knows of jobs beside the service
	 * @param attempts the attempts that run on the worker
	 * @param throttles sets the shares of attempts
	 * @param evictions takes requests for evictions
	 */
	public InterferenceController(InterferenceSettings settings, Clock clock, Resources capacity,
			ServiceLatencyWindow window, EffectPriors priors, ControlledAttempts attempts, ThrottleControl throttles,
			EvictionRequests evictions) {
		this.settings = Objects.requireNonNull(settings, "settings");
		this.clock = Objects.requireNonNull(clock, "clock");
		this.capacity = Objects.requireNonNull(capacity, "capacity");
		this.window = Objects.requireNonNull(window, "window");
		this.model = new SlowdownModel(Objects.requireNonNull(priors, "priors"));
		this.attempts = Objects.requireNonNull(attempts, "attempts");
		this.throttles = Objects.requireNonNull(throttles, "throttles");
		this.evictions = Objects.requireNonNull(evictions, "evictions");
		this.budget = new EvictionBudget(clock, settings.evictionInterval(), settings.evictionBurst());
		this.planner = new ThrottlePlanner(settings.leastPercent());
	}

	/**
	 * Makes the decisions of one interval. Called by a timer at the interval of the
	 * settings.
	 * @param service the name of the service on the worker
	 * @param objective the objective of the service
	 */
	public void control(String service, ServiceObjective objective) {
		List<ControlledAttempt> running = this.attempts.current();
		forgetEnded(running);
		LatencyInterval interval = this.window.nextInterval();
		Map<String, Double> exposures = exposures(running);
		this.model.observe(interval, exposures);
		this.ownModel.observe(interval, exposures);
		this.pressure = this.window.tail(objective.latencyQuantile()).pressure(objective.latency());
		adaptAllowance();
		setThrottles(running);
		requestEviction(running);
		this.observations = observe(service, running);
	}

	/**
	 * Releases all attempts and observes nothing. Called in place of {@link #control}
	 * while the endpoint takes no requests, when there is no latency to protect.
	 */
	public void liftThrottles() {
		List<ControlledAttempt> running = this.attempts.current();
		forgetEnded(running);
		this.window.clear();
		this.pressure = 0;
		this.allowance = 1;
		this.observations = List.of();
		running.forEach((attempt) -> setThrottle(attempt.key(), 100));
	}

	/**
	 * Returns the tail of the service's latency relative to its objective.
	 * @return 1 if they are equal; 0 if there were no requests
	 */
	public double pressure() {
		return this.pressure;
	}

	/**
	 * Returns the pressure as it is reported to the scheduler.
	 * @return the pressure in thousandths
	 */
	public int pressureThousandths() {
		return (int) Math.min(Integer.MAX_VALUE, Math.round(this.pressure * 1000));
	}

	/**
	 * Returns the share that an attempt may use.
	 * @param attempt the attempt
	 * @return the share, 0 to 100
	 */
	public int percent(AttemptKey attempt) {
		Throttled state = this.throttled.get(attempt);
		return (state != null) ? state.percent : 100;
	}

	/**
	 * Returns what was learned of the jobs that run now.
	 * @return an observation for each job
	 */
	public List<PairObservation> observations() {
		return this.observations;
	}

	private void forgetEnded(List<ControlledAttempt> running) {
		Set<AttemptKey> keys = running.stream().map(ControlledAttempt::key).collect(Collectors.toSet());
		this.throttled.keySet().retainAll(keys);
	}

	private Map<String, Double> exposures(List<ControlledAttempt> running) {
		Map<String, Double> exposures = new HashMap<>();
		for (ControlledAttempt attempt : running) {
			double exposure = share(attempt) * percent(attempt.key()) / 100;
			exposures.merge(attempt.job(), exposure, Double::sum);
		}
		return exposures;
	}

	private double share(ControlledAttempt attempt) {
		return (double) attempt.reserved().milliCores() / this.capacity.milliCores();
	}

	private void adaptAllowance() {
		if (this.pressure > this.settings.highPressure()) {
			if (this.allowance == 1) {
				EventLog.warn(InterferenceEvent.BATCH_WORK_YIELDS, Field.of("pressure", this.pressure));
			}
			this.allowance = Math.max(LEAST_ALLOWANCE, this.allowance / 2);
		}
		else {
			this.allowance = Math.min(1, this.allowance + ALLOWANCE_RECOVERY);
		}
	}

	private double caution() {
		double used = Math.min(1, this.pressure / this.settings.highPressure());
		return CAUTION_WITH_ROOM + (CAUTION_WITHOUT_ROOM - CAUTION_WITH_ROOM) * used;
	}

	private void setThrottles(List<ControlledAttempt> running) {
		double caution = caution();
		List<ThrottlePlanner.Candidate> candidates = new ArrayList<>();
		for (ControlledAttempt attempt : running) {
			double effect = this.model.effect(attempt.job()).upperBound(caution);
			candidates.add(new ThrottlePlanner.Candidate(share(attempt), effect));
		}
		double limit = limit(candidates, running) * this.allowance;
		int[] planned = this.planner.plan(candidates, limit);
		for (int i = 0; i < planned.length; i++) {
			setThrottle(running.get(i).key(), planned[i]);
		}
	}

	private double limit(List<ThrottlePlanner.Candidate> candidates, List<ControlledAttempt> running) {
		if (this.pressure <= 0) {
			// Without requests there is no latency to protect.
			return Double.POSITIVE_INFINITY;
		}
		double tolerated = Math.log(this.settings.toleratedSlowdown());
		double caused = 0;
		for (int i = 0; i < running.size(); i++) {
			ThrottlePlanner.Candidate candidate = candidates.get(i);
			caused += candidate.exposure() * candidate.effect() * percent(running.get(i).key()) / 100;
		}
		double room = Math.log(this.settings.relaxedPressure() / this.pressure) + caused;
		return Math.max(tolerated, room);
	}

	private void setThrottle(AttemptKey attempt, int planned) {
		int present = percent(attempt);
		int next = Math.min(planned, present + this.settings.recoveryPercent());
		boolean atLeast = next <= this.settings.leastPercent();
		Throttled state = this.throttled.computeIfAbsent(attempt, (key) -> new Throttled(this.clock.nanoTime()));
		if (!atLeast) {
			state.aboveLeast = this.clock.nanoTime();
		}
		if (next != present || !state.confirmed) {
			state.percent = next;
			state.confirmed = true;
			this.throttles.throttle(attempt, next);
		}
	}

	private void requestEviction(List<ControlledAttempt> running) {
		Optional<ControlledAttempt> culprit = running.stream()
			.filter((attempt) -> heldAtLeast(attempt).compareTo(this.settings.evictionPatience()) >= 0)
			.filter((attempt) -> this.model.effect(attempt.job()).significant())
			.max(Comparator.comparingDouble((attempt) -> evidence(attempt)));
		if (culprit.isEmpty() || !this.budget.tryAcquire()) {
			return;
		}
		ControlledAttempt attempt = culprit.get();
		Duration held = heldAtLeast(attempt);
		EvictionRequest request = new EvictionRequest(attempt.key(), attempt.job(), this.model.effect(attempt.job()),
				this.pressure, held);
		EventLog.info(InterferenceEvent.EVICTION_REQUESTED, Field.of("task", attempt.key().taskId()),
				Field.of("job", attempt.job()), Field.of("effect", request.effect().mean()));
		this.evictions.request(request);
	}

	private double evidence(ControlledAttempt attempt) {
		JobEffect effect = this.model.effect(attempt.job());
		return effect.mean() / effect.standardError();
	}

	private Duration heldAtLeast(ControlledAttempt attempt) {
		Throttled state = this.throttled.get(attempt.key());
		if (state == null || state.percent > this.settings.leastPercent()) {
			return Duration.ZERO;
		}
		return Duration.ofNanos(this.clock.nanoTime() - state.aboveLeast);
	}

	private List<PairObservation> observe(String service, List<ControlledAttempt> running) {
		Set<String> jobs = new LinkedHashSet<>();
		running.forEach((attempt) -> jobs.add(attempt.job()));
		return jobs.stream().map((job) -> new PairObservation(service, job, this.ownModel.effect(job))).toList();
	}

	/**
	 * Throttle of one attempt.
	 */
	private static final class Throttled {

		private int percent = 100;

		private boolean confirmed;

		private long aboveLeast;

		private Throttled(long now) {
			this.aboveLeast = now;
		}

	}

}

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
 * Limits the slowdown of the service by the batch work on one worker.
 *
 * <p>
 * Decisions combine the priors of the fleet with the measurements of this worker.
 * Reported observations rest on the measurements of this worker alone; otherwise the
 * priors of the fleet would return to the fleet as new evidence and confirm themselves.
 *
 * <p>
 * Each interval the controller updates the {@link SlowdownModel} from the latencies,
 * divides the tolerated slowdown among the attempts ({@link ThrottlePlanner}) and sets
 * their throttles: shares fall at once and rise in small steps. If the pressure (the tail
 * latency of the service divided by its objective) is high nevertheless, the tolerated
 * slowdown is halved each interval, and recovers additively afterwards. An attempt that
 * stays at the minimum share for long is proposed for eviction, the one with the
 * strongest evidence first. Not thread-safe, except for the latency window.
 */
public final class InterferenceController {

	private static final double MIN_LIMIT_FACTOR = 0.02;

	private static final double LIMIT_FACTOR_INCREMENT = 0.02;

	private static final double CAUTION_AT_LOW_PRESSURE = 0.25;

	private static final double CAUTION_AT_HIGH_PRESSURE = 1;

	private final InterferenceSettings settings;

	private final Clock clock;

	private final Resources capacity;

	private final ServiceLatencyWindow window;

	private final ControlledAttempts attempts;

	private final ThrottleControl throttles;

	private final EvictionRequester evictions;

	private final EvictionBudget budget;

	private final ThrottlePlanner planner;

	private final SlowdownModel model;

	private final SlowdownModel localModel = new SlowdownModel(EffectPriors.NONE);

	private final Map<AttemptKey, ThrottleState> throttleStates = new HashMap<>();

	private double limitFactor = 1;

	private volatile double pressure;

	private volatile List<PairObservation> observations = List.of();

	/**
	 * Creates a controller for one worker.
	 * @param settings the settings
	 * @param clock the source of elapsed time
	 * @param capacity the capacity of the worker
	 * @param window the latencies of the service
	 * @param priors the fleet's estimates of the effects of jobs on the service
	 * @param attempts supplies the attempts that are running on the worker
	 * @param throttles sets the processor shares of attempts
	 * @param evictions requests evictions
	 */
	public InterferenceController(InterferenceSettings settings, Clock clock, Resources capacity,
			ServiceLatencyWindow window, EffectPriors priors, ControlledAttempts attempts, ThrottleControl throttles,
			EvictionRequester evictions) {
		this.settings = Objects.requireNonNull(settings, "settings");
		this.clock = Objects.requireNonNull(clock, "clock");
		this.capacity = Objects.requireNonNull(capacity, "capacity");
		this.window = Objects.requireNonNull(window, "window");
		this.model = new SlowdownModel(Objects.requireNonNull(priors, "priors"));
		this.attempts = Objects.requireNonNull(attempts, "attempts");
		this.throttles = Objects.requireNonNull(throttles, "throttles");
		this.evictions = Objects.requireNonNull(evictions, "evictions");
		this.budget = new EvictionBudget(clock, settings.evictionInterval(), settings.evictionBurst());
		this.planner = new ThrottlePlanner(settings.minSharePercent());
	}

	/**
	 * Measures one interval and decides on throttles and evictions. Called by a timer at
	 * the interval of the settings.
	 * @param service the name of the service on the worker
	 * @param objective the objective of the service
	 */
	public void control(String service, ServiceObjective objective) {
		List<ControlledAttempt> running = this.attempts.current();
		removeEnded(running);
		LatencyInterval interval = this.window.nextInterval();
		Map<String, Double> exposures = exposures(running);
		this.model.observe(interval, exposures);
		this.localModel.observe(interval, exposures);
		this.pressure = this.window.tail(objective.latencyQuantile()).pressure(objective.latency());
		adaptLimitFactor();
		setThrottles(running);
		requestEviction(running);
		this.observations = collectObservations(service, running);
	}

	/**
	 * Raises the share of every attempt by one step and discards the latencies and
	 * observations; repeated calls lift all throttles. Called in place of
	 * {@link #control} while the endpoint takes no requests, when there is no latency to
	 * protect.
	 */
	public void liftThrottles() {
		List<ControlledAttempt> running = this.attempts.current();
		removeEnded(running);
		this.window.clear();
		this.pressure = 0;
		this.limitFactor = 1;
		this.observations = List.of();
		running.forEach((attempt) -> setThrottle(attempt.key(), 100));
	}

	/**
	 * Returns the pressure, which is the tail latency of the service divided by its
	 * objective.
	 * @return 1 if both are equal; 0 if there were no requests
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
	 * Returns the share of its processor time that an attempt may use.
	 * @param attempt the attempt
	 * @return the share in percent, 0 to 100
	 */
	public int sharePercent(AttemptKey attempt) {
		ThrottleState state = this.throttleStates.get(attempt);
		return (state != null) ? state.sharePercent : 100;
	}

	/**
	 * Returns the estimated effects of the jobs that are currently running.
	 * @return an observation for each job
	 */
	public List<PairObservation> observations() {
		return this.observations;
	}

	private void removeEnded(List<ControlledAttempt> running) {
		Set<AttemptKey> keys = running.stream().map(ControlledAttempt::key).collect(Collectors.toSet());
		this.throttleStates.keySet().retainAll(keys);
	}

	private Map<String, Double> exposures(List<ControlledAttempt> running) {
		Map<String, Double> exposures = new HashMap<>();
		for (ControlledAttempt attempt : running) {
			double exposure = coreShare(attempt) * sharePercent(attempt.key()) / 100;
			exposures.merge(attempt.job(), exposure, Double::sum);
		}
		return exposures;
	}

	private double coreShare(ControlledAttempt attempt) {
		return (double) attempt.reserved().milliCores() / this.capacity.milliCores();
	}

	private void adaptLimitFactor() {
		if (this.pressure > this.settings.highPressure()) {
			if (this.limitFactor == 1) {
				EventLog.warn(InterferenceEvent.BATCH_WORK_YIELDS, Field.of("pressure", this.pressure));
			}
			this.limitFactor = Math.max(MIN_LIMIT_FACTOR, this.limitFactor / 2);
		}
		else {
			this.limitFactor = Math.min(1, this.limitFactor + LIMIT_FACTOR_INCREMENT);
		}
	}

	private double caution() {
		double fraction = Math.min(1, this.pressure / this.settings.highPressure());
		return CAUTION_AT_LOW_PRESSURE + (CAUTION_AT_HIGH_PRESSURE - CAUTION_AT_LOW_PRESSURE) * fraction;
	}

	private void setThrottles(List<ControlledAttempt> running) {
		double caution = caution();
		List<ThrottlePlanner.Candidate> candidates = new ArrayList<>();
		for (ControlledAttempt attempt : running) {
			double effect = this.model.effect(attempt.job()).upperBound(caution);
			candidates.add(new ThrottlePlanner.Candidate(coreShare(attempt), effect));
		}
		double limit = limit(candidates, running) * this.limitFactor;
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
		double attributed = 0;
		for (int i = 0; i < running.size(); i++) {
			ThrottlePlanner.Candidate candidate = candidates.get(i);
			attributed += candidate.exposure() * candidate.effect() * sharePercent(running.get(i).key()) / 100;
		}
		double headroom = Math.log(this.settings.lowPressure() / this.pressure) + attributed;
		return Math.max(tolerated, headroom);
	}

	private void setThrottle(AttemptKey attempt, int planned) {
		int current = sharePercent(attempt);
		int next = Math.min(planned, current + this.settings.maxIncreasePercent());
		boolean atMin = next <= this.settings.minSharePercent();
		ThrottleState state = this.throttleStates.computeIfAbsent(attempt,
				(key) -> new ThrottleState(this.clock.nanoTime()));
		if (!atMin) {
			state.lastAboveMinNanos = this.clock.nanoTime();
		}
		if (next != current || !state.applied) {
			state.sharePercent = next;
			state.applied = true;
			this.throttles.throttle(attempt, next);
		}
	}

	private void requestEviction(List<ControlledAttempt> running) {
		Optional<ControlledAttempt> selected = running.stream()
			.filter((attempt) -> timeAtMinShare(attempt).compareTo(this.settings.evictionDelay()) >= 0)
			.filter((attempt) -> this.model.effect(attempt.job()).significant())
			.max(Comparator.comparingDouble((attempt) -> standardScore(attempt)));
		if (selected.isEmpty() || !this.budget.tryAcquire()) {
			return;
		}
		ControlledAttempt attempt = selected.get();
		Duration throttledDuration = timeAtMinShare(attempt);
		EvictionRequest request = new EvictionRequest(attempt.key(), attempt.job(), this.model.effect(attempt.job()),
				this.pressure, throttledDuration);
		EventLog.info(InterferenceEvent.EVICTION_REQUESTED, Field.of("task", attempt.key().taskId()),
				Field.of("job", attempt.job()), Field.of("effect", request.effect().mean()));
		this.evictions.request(request);
	}

	private double standardScore(ControlledAttempt attempt) {
		JobEffect effect = this.model.effect(attempt.job());
		return effect.mean() / effect.standardError();
	}

	private Duration timeAtMinShare(ControlledAttempt attempt) {
		ThrottleState state = this.throttleStates.get(attempt.key());
		if (state == null || state.sharePercent > this.settings.minSharePercent()) {
			return Duration.ZERO;
		}
		return Duration.ofNanos(this.clock.nanoTime() - state.lastAboveMinNanos);
	}

	private List<PairObservation> collectObservations(String service, List<ControlledAttempt> running) {
		Set<String> jobs = new LinkedHashSet<>();
		running.forEach((attempt) -> jobs.add(attempt.job()));
		return jobs.stream().map((job) -> new PairObservation(service, job, this.localModel.effect(job))).toList();
	}

	/**
	 * State of the throttle of one attempt.
	 */
	private static final class ThrottleState {

		private int sharePercent = 100;

		private boolean applied;

		private long lastAboveMinNanos;

		private ThrottleState(long now) {
			this.lastAboveMinNanos = now;
		}

	}

}

package org.crocuspost.host;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

import org.crocuspost.wire.RunningTask;
import org.crocuspost.wire.TaskName;
import org.crocuspost.wire.TaskTraits;

/**
 * Slows fillers down while a service on the same worker comes close to its latency
 * target, and accelerates them once the latency allows it. A filler is a batch task that
 * uses capacity which services leave idle; its pace is the execution rate that it is
 * allowed, in percent of full speed. The pressure on a service is the ratio of its worst
 * tail latency to its latency target.
 *
 * <p>
 * Load pattern: half of the images raise the pressure on a service many times as much as
 * the others, the pressure changes within seconds, and the service's own load varies. The
 * fillers of a worker share a budget of pressure. Each filler is expected to use a part
 * of it in proportion to its pace. Fillers with the smallest expected rise are served
 * first, so that one demanding filler does not slow all others down. The budget follows
 * the reported pressure. Example: without fillers the pressure is 0.3, with them 1.3, and
 * the target pressure is 0.8; the budget becomes half of what the fillers use now.
 * Halving all paces and raising them step by step instead left a third of the tolerable
 * work undone.
 */
public final class PaceController {

	private static final int FULL_PACE = 100;

	/**
	 * Assumed pressure of a service without fillers until it has been observed.
	 */
	private static final double DEFAULT_BASE_PRESSURE = 0.25;

	/**
	 * Pressure above which a service misses its latency target.
	 */
	private static final double MISS_PRESSURE = 1;

	private static final double BASE_SMOOTHING = 0.2;

	/**
	 * Expected rise of the pressure due to a filler of an unknown image at full pace.
	 */
	private static final double DEFAULT_RISE = 0.4;

	/**
	 * Minimum expected rise, so that light fillers are slowed down as well if slowing
	 * down the others does not suffice.
	 */
	private static final double MINIMUM_RISE = 0.02;

	/**
	 * Minimum budget. It stops even a filler that is expected to be light, and is large
	 * enough to grow back by multiplication within seconds.
	 */
	private static final double MINIMUM_BUDGET = MINIMUM_RISE / 20;

	/**
	 * Minimum difference of pressures that is used as a divisor.
	 */
	private static final double MINIMUM_PRESSURE_DIFFERENCE = 0.01;

	/**
	 * Minimum change of a pace. Smaller changes are deferred, except changes to zero or
	 * to full pace.
	 */
	private static final int MINIMUM_PACE_CHANGE = 8;

	private final PaceSettings settings;

	private double basePressure = DEFAULT_BASE_PRESSURE;

	private double budget;

	private long changedNanos;

	private long missedSinceNanos;

	private boolean started;

	private Set<RunningRun> slowedRuns = Set.of();

	/**
	 * Creates a controller for one worker.
	 * @param settings the thresholds
	 */
	public PaceController(PaceSettings settings) {
		this.settings = settings;
		this.budget = settings.target() - DEFAULT_BASE_PRESSURE;
	}

	/**
	 * Updates the budget from the reported load and assigns the paces.
	 * @param runs the runs in progress, with their traits
	 * @param nowNanos the current monotonic time, in nanoseconds
	 * @return the runs whose pace must change
	 */
	public List<Change> update(Collection<ObservedRun> runs, long nowNanos) {
		double pressure = 0;
		double used = 0;
		double wanted = 0;
		List<ObservedRun> fillers = new ArrayList<>();
		for (ObservedRun run : runs) {
			if (run.traits().getTailTarget() > 0) {
				pressure = Math.max(pressure, run.running().getLoad() / (double) run.traits().getTailTarget());
			}
			if (run.traits().getFiller()) {
				fillers.add(run);
				used += expectedRise(run) * run.pace() / FULL_PACE;
				wanted += expectedRise(run);
			}
		}
		if (pressure <= 0) {
			return distribute(fillers, Double.POSITIVE_INFINITY);
		}
		if (fillers.isEmpty()) {
			this.basePressure += BASE_SMOOTHING * (Math.min(pressure, this.settings.target()) - this.basePressure);
			return List.of();
		}
		resetBudgetIfSlowedRunsAreGone(fillers);
		updateBudget(pressure, used, wanted, nowNanos);
		if (this.changedNanos == nowNanos && this.budget < used) {
			this.slowedRuns = fillers.stream().map(RunningRun::of).collect(Collectors.toSet());
		}
		return distribute(fillers, this.budget);
	}

	private static double expectedRise(ObservedRun run) {
		double expected = run.traits().getPressure();
		return (expected > 0) ? Math.max(MINIMUM_RISE, expected) : DEFAULT_RISE;
	}

	/**
	 * Forgets what was observed of runs that have ended. A budget that was reduced for a
	 * demanding filler would otherwise slow down the light ones that follow it, for the
	 * seconds that it takes to grow back.
	 * @param fillers the fillers in progress
	 */
	private void resetBudgetIfSlowedRunsAreGone(List<ObservedRun> fillers) {
		if (!this.slowedRuns.isEmpty() && fillers.stream().map(RunningRun::of).noneMatch(this.slowedRuns::contains)) {
			this.slowedRuns = Set.of();
			this.budget = Math.max(this.budget, this.settings.target() - this.basePressure);
		}
	}

	private void updateBudget(double pressure, double used, double wanted, long nowNanos) {
		if (!this.started) {
			this.started = true;
			this.missedSinceNanos = nowNanos;
		}
		else if (nowNanos - this.changedNanos < this.settings.minimumInterval().toNanos()) {
			return;
		}
		double factor = (this.settings.target() - this.basePressure)
				/ Math.max(MINIMUM_PRESSURE_DIFFERENCE, pressure - this.basePressure);
		double next = this.budget;
		if (pressure <= MISS_PRESSURE) {
			this.missedSinceNanos = nowNanos;
		}
		if (nowNanos - this.missedSinceNanos > this.settings.maximumMiss().toNanos()) {
			next = MINIMUM_BUDGET;
		}
		else if (pressure > this.settings.reduceAbove()) {
			next = Math.max(MINIMUM_BUDGET, Math.min(this.budget, used) * factor);
		}
		else if (pressure < this.settings.raiseBelow() && this.budget < wanted) {
			double growth = (pressure > this.basePressure) ? Math.min(this.settings.maximumGrowth(), factor)
					: this.settings.maximumGrowth();
			next = Math.max(this.budget, Math.max(MINIMUM_BUDGET, Math.min(this.budget, wanted)) * growth);
		}
		if (next != this.budget) {
			this.budget = next;
			this.changedNanos = nowNanos;
		}
	}

	private List<Change> distribute(List<ObservedRun> fillers, double budget) {
		List<Change> changes = new ArrayList<>();
		double remaining = budget;
		fillers.sort(Comparator.comparingDouble(PaceController::expectedRise));
		for (ObservedRun run : fillers) {
			int pace = (int) Math.min(FULL_PACE, FULL_PACE * remaining / expectedRise(run));
			if (pace < this.settings.minimumPace()) {
				pace = 0;
			}
			remaining -= expectedRise(run) * pace / FULL_PACE;
			boolean atLimit = pace == 0 || pace == FULL_PACE;
			if (pace != run.pace() && (atLimit || Math.abs(pace - run.pace()) >= MINIMUM_PACE_CHANGE)) {
				changes.add(new Change(run, pace));
			}
		}
		return changes;
	}

	/**
	 * A run with its traits and its current pace.
	 *
	 * @param running the run as reported by the worker
	 * @param traits the traits of the run as sent by the leader
	 * @param pace the pace that was last ordered, in percent
	 */
	public record ObservedRun(RunningTask running, TaskTraits traits, int pace) {
	}

	/**
	 * Identity of a run.
	 *
	 * @param task the task
	 * @param run the number of the run
	 */
	private record RunningRun(TaskName task, int run) {

		private static RunningRun of(ObservedRun observed) {
			return new RunningRun(observed.running().getTask(), observed.running().getRun());
		}

	}

	/**
	 * A pace to order.
	 *
	 * @param run the run
	 * @param pace the pace, in percent of full speed
	 */
	public record Change(ObservedRun run, int pace) {
	}

}

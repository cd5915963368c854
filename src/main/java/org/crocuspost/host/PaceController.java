package org.crocuspost.host;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

import org.crocuspost.wire.RunningTask;
import org.crocuspost.wire.TaskTraits;

/**
 * Slows fillers down while a service beside them misses its latency target, and lets them
 * go on step by step once it has recovered.
 *
 * <p>
 * Load pattern: the pressure that a filler puts on a service differs by image and changes
 * within seconds, and the service's own load swings. Halving and slow recovery (as in
 * congestion control) find the tolerable pace without a model of the pairs.
 */
public final class PaceController {

	private static final int FULL = 100;

	private final PaceSettings settings;

	private int pace = FULL;

	private long changedNanos;

	private boolean started;

	/**
	 * Creates a controller for one worker.
	 * @param settings the thresholds
	 */
	public PaceController(PaceSettings settings) {
		this.settings = settings;
	}

	/**
	 * Learns of the load and decides.
	 * @param runs what runs, with its traits
	 * @param nowNanos the present monotonic time
	 * @return the runs whose pace must change
	 */
	public List<Change> decide(Collection<ObservedRun> runs, long nowNanos) {
		double pressure = 0;
		boolean fillers = false;
		for (ObservedRun run : runs) {
			if (run.traits().getTailTarget() > 0) {
				pressure = Math.max(pressure, run.running().getLoad() / (double) run.traits().getTailTarget());
			}
			fillers |= run.traits().getFiller();
		}
		if (fillers) {
			adapt(pressure, nowNanos);
		}
		else {
			this.pace = FULL;
		}
		return changes(runs);
	}

	private void adapt(double pressure, long nowNanos) {
		if (this.started && nowNanos - this.changedNanos < this.settings.interval().toNanos()) {
			return;
		}
		int next = this.pace;
		if (pressure > this.settings.reduceAbove()) {
			next = (int) (this.pace * this.settings.reduction());
			if (next < this.settings.lowest()) {
				next = 0;
			}
		}
		else if (pressure < this.settings.raiseBelow()) {
			next = Math.min(FULL, Math.max(this.pace + this.settings.increase(), this.settings.lowest()));
		}
		if (next != this.pace) {
			this.pace = next;
			this.changedNanos = nowNanos;
			this.started = true;
		}
	}

	private List<Change> changes(Collection<ObservedRun> runs) {
		List<Change> changes = new ArrayList<>();
		for (ObservedRun run : runs) {
			if (run.traits().getFiller() && run.pace() != this.pace) {
				changes.add(new Change(run, this.pace));
			}
		}
		return changes;
	}

	/**
	 * A run with what is known of it.
	 *
	 * @param running the run as the worker reports it
	 * @param traits what the leader says of it
	 * @param pace the pace that was last ordered
	 */
	public record ObservedRun(RunningTask running, TaskTraits traits, int pace) {
	}

	/**
	 * A pace to order.
	 *
	 * @param run the run
	 * @param pace share of full speed in hundredths
	 */
	public record Change(ObservedRun run, int pace) {
	}

}

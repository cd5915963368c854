package org.crocuspost.lead;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeMap;
import java.util.stream.Collectors;

import org.crocuspost.dispatch.LoadMeasurements;
import org.crocuspost.dispatch.StartConditions;
import org.crocuspost.dispatch.UnavailabilityReason;
import org.crocuspost.dispatch.UnavailableTask;
import org.crocuspost.job.TaskKey;
import org.crocuspost.log.EventLog;
import org.crocuspost.log.Field;
import org.crocuspost.time.Clock;

/**
 * Logs the long-running tasks that are not known to run and what the leader waits for, so
 * that a run that is not declared lost can be told from a task that waits for a place.
 * Each line counts all tasks by reason and names some. Tasks that were not named with
 * their reason come first, then those named the longest ago, so that consecutive lines
 * name all of them.
 */
final class UnavailableTaskLog {

	private static final Duration INTERVAL = Duration.ofSeconds(1);

	/**
	 * Maximum number of tasks that one line names.
	 */
	static final int MAXIMUM_LISTED_TASKS = 12;

	private final LoadMeasurements load;

	private final LeaderMetrics metrics;

	private final Clock clock;

	private OptionalLong surveyedNanos = OptionalLong.empty();

	private boolean loggedUnavailable;

	private long lines;

	private Map<TaskKey, Naming> named = new HashMap<>();

	UnavailableTaskLog(LoadMeasurements load, LeaderMetrics metrics, Clock clock) {
		this.load = load;
		this.metrics = metrics;
		this.clock = clock;
	}

	/**
	 * Writes a line while there are unavailable tasks, and one when there are none any
	 * more, and sets the metric, if the interval since the previous survey has passed.
	 * @param conditions what the leader knows about its permission to start tasks
	 */
	void writeIfDue(StartConditions conditions) {
		takeIfDue(conditions).ifPresent((summary) -> EventLog.info(LeadEvent.TASKS_UNAVAILABLE,
				Field.of("tasks", summary.tasks()), Field.of("reasons", summary.reasons()),
				Field.of("longestMillis", summary.longest().toMillis()), Field.of("named", summary.named()),
				Field.of("confirmationAgeMillis", conditions.confirmationAge().toMillis()),
				Field.of("operatorViewAgeMillis", conditions.operatorViewAge().toMillis())));
	}

	Optional<Summary> takeIfDue(StartConditions conditions) {
		long now = this.clock.nanoTime();
		if (this.surveyedNanos.isPresent() && now - this.surveyedNanos.getAsLong() < INTERVAL.toNanos()) {
			return Optional.empty();
		}
		this.surveyedNanos = OptionalLong.of(now);
		List<UnavailableTask> tasks = this.load.unavailableTasks(conditions);
		Map<UnavailabilityReason, Long> counts = tasks.stream()
			.collect(Collectors.groupingBy(UnavailableTask::reason, TreeMap::new, Collectors.counting()));
		for (UnavailabilityReason reason : UnavailabilityReason.values()) {
			this.metrics.unavailableTasks(reason, counts.getOrDefault(reason, 0L));
		}
		if (tasks.isEmpty() && !this.loggedUnavailable) {
			return Optional.empty();
		}
		this.loggedUnavailable = !tasks.isEmpty();
		Map<String, Long> reasons = new LinkedHashMap<>();
		counts.forEach((reason, count) -> reasons.put(reason.label(), count));
		Duration longest = tasks.stream()
			.map(UnavailableTask::duration)
			.max(Comparator.naturalOrder())
			.orElse(Duration.ZERO);
		return Optional.of(new Summary(tasks.size(), reasons, longest, nameTasks(tasks)));
	}

	private List<String> nameTasks(List<UnavailableTask> tasks) {
		this.lines++;
		Map<TaskKey, Naming> remembered = new HashMap<>();
		List<UnavailableTask> ordered = new ArrayList<>(tasks);
		ordered.sort(Comparator.comparingLong(this::lastNamed)
			.thenComparing(UnavailableTask::duration, Comparator.reverseOrder()));
		List<String> texts = new ArrayList<>();
		for (UnavailableTask task : ordered) {
			if (texts.size() < MAXIMUM_LISTED_TASKS) {
				texts.add(describe(task));
				remembered.put(task.task(), new Naming(task.reason(), this.lines));
			}
			else if (this.named.containsKey(task.task())) {
				remembered.put(task.task(), this.named.get(task.task()));
			}
		}
		this.named = remembered;
		return texts;
	}

	private long lastNamed(UnavailableTask task) {
		Naming last = this.named.get(task.task());
		return (last != null && last.reason() == task.reason()) ? last.line() : 0;
	}

	private static String describe(UnavailableTask task) {
		return "%s run %d on %s %s for %d ms, evidence %d ms old".formatted(task.task(), task.run(),
				task.host().isEmpty() ? "-" : task.host(), task.reason().label(), task.duration().toMillis(),
				task.evidenceAge().toMillis());
	}

	/**
	 * Sets the metric to zero at the end of the term, since the tasks may run under
	 * another leader.
	 */
	void close() {
		for (UnavailabilityReason reason : UnavailabilityReason.values()) {
			this.metrics.unavailableTasks(reason, 0);
		}
	}

	/**
	 * Content of a line.
	 *
	 * @param tasks the number of unavailable tasks
	 * @param reasons the number of tasks by reason
	 * @param longest the longest time for which one of them is unavailable
	 * @param named descriptions of some of them
	 */
	record Summary(int tasks, Map<String, Long> reasons, Duration longest, List<String> named) {
	}

	private record Naming(UnavailabilityReason reason, long line) {
	}

}

package org.crocuspost.operations;

import java.io.IOException;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BinaryOperator;
import java.util.function.Function;

import io.vavr.control.Either;
import org.crocuspost.error.ErrorCode;
import org.crocuspost.error.Failure;
import org.crocuspost.json.Json;
import org.crocuspost.wire.ViewQuery;

/**
 * Views of batch work in an entry, merged from the answers of all schedulers. A scheduler
 * that does not answer is left out as long as another one does; if none answers, the view
 * fails.
 */
public final class RemoteBatchViews {

	private static final Comparator<JobView> BY_PROGRESS = Comparator
		.comparingInt((JobView job) -> job.succeeded() + job.failed())
		.thenComparingInt(JobView::running);

	private static final String PENDING = "pending";

	private final SchedulerQueries queries;

	private RemoteBatchViews(SchedulerQueries queries) {
		this.queries = queries;
	}

	/**
	 * Creates the views.
	 * @param queries sends the queries to the schedulers
	 * @return the views
	 */
	public static BatchViews of(SchedulerQueries queries) {
		RemoteBatchViews remote = new RemoteBatchViews(queries);
		return new BatchViews(remote::workers, remote::jobs, remote::tasks, remote::explain);
	}

	private Either<Failure, List<WorkerView>> workers() {
		return merge(ViewQuery.View.VIEW_WORKERS, WorkerView[].class, WorkerView::name, (first, second) -> first);
	}

	private Either<Failure, List<JobView>> jobs() {
		return merge(ViewQuery.View.VIEW_JOBS, JobView[].class, JobView::name, RemoteBatchViews::moreAdvanced);
	}

	// Every scheduler counts all tasks, but receives the changes of tasks in failure
	// domains that are not its own with a delay. So the count with more progress is the
	// current one. The reason why tasks wait is available from each scheduler only for
	// its own failure domains.
	private static JobView moreAdvanced(JobView first, JobView second) {
		JobView newest = (BY_PROGRESS.compare(first, second) >= 0) ? first : second;
		String reason = first.reason().isEmpty() ? second.reason() : first.reason();
		return new JobView(newest.name(), newest.team(), newest.tasks(), newest.pending(), newest.running(),
				newest.succeeded(), newest.failed(), (newest.pending() > 0) ? reason : "");
	}

	private Either<Failure, List<TaskView>> tasks() {
		return merge(ViewQuery.View.VIEW_TASKS, TaskView[].class, TaskView::id,
				(first, second) -> (first.attempt() >= second.attempt()) ? first : second);
	}

	private Either<Failure, Explanation> explain(String id) {
		return merge(queryAll(ViewQuery.View.VIEW_EXPLAIN_TASK, id), Explanation.class,
				(explanation) -> List.of(explanation))
			.map((explanations) -> explanations.stream()
				.max(Comparator.comparing((Explanation explanation) -> explanation.reasons().size())
					.thenComparing((explanation) -> !explanation.state().equals(PENDING)))
				.orElseThrow());
	}

	private <T> Either<Failure, List<T>> merge(ViewQuery.View view, Class<T[]> type, Function<T, String> key,
			BinaryOperator<T> choice) {
		return merge(queryAll(view, ""), type, List::of).map((lines) -> {
			Map<String, T> merged = new TreeMap<>();
			lines.forEach((line) -> merged.merge(key.apply(line), line, choice));
			return List.copyOf(merged.values());
		});
	}

	private List<Either<Failure, String>> queryAll(ViewQuery.View view, String id) {
		return this.queries.queryAll(view, id);
	}

	private static <A, T> Either<Failure, List<T>> merge(List<Either<Failure, String>> answers, Class<A> type,
			Function<A, List<T>> lines) {
		List<T> all = answers.stream()
			.flatMap((answer) -> answer.flatMap((json) -> decode(json, type)).map(lines).getOrElse(List.of()).stream())
			.toList();
		boolean answered = answers.stream().anyMatch(Either::isRight);
		return answered ? Either.right(all)
				: Either.left(answers.stream()
					.map(Either::getLeft)
					.findFirst()
					.orElse(ErrorCode.NOT_FOUND.with("a connection to a scheduler")));
	}

	private static <A> Either<Failure, A> decode(String json, Class<A> type) {
		try {
			return Either.right(Json.mapper().readValue(json, type));
		}
		catch (IOException ex) {
			return Either.left(ErrorCode.MALFORMED.with("the answer of a scheduler"));
		}
	}

}

package org.crocuspost.operations;

import java.util.List;
import java.util.Set;
import java.util.TreeSet;

import io.vavr.control.Either;
import org.crocuspost.configuration.Configuration;
import org.crocuspost.distribution.InForceStatus;
import org.crocuspost.error.Failure;
import org.crocuspost.log.RecentEvents;
import ratpack.func.Action;
import ratpack.handling.Chain;
import ratpack.handling.Context;

/**
 * Routes of the views.
 */
final class ViewHandlers implements Action<Chain> {

	private final String entry;

	private final Set<String> failureDomains;

	private final NoteOperations notes;

	private final OperationsViews views;

	ViewHandlers(String entry, Set<String> failureDomains, NoteOperations notes, OperationsViews views) {
		this.entry = entry;
		this.failureDomains = failureDomains;
		this.notes = notes;
		this.views = views;
	}

	@Override
	public void execute(Chain chain) throws Exception {
		chain.get("status", (context) -> Answers.blocking(context, () -> Either.right(status())))
			.get("services", (context) -> Answers.json(context, services()))
			.get("domains", (context) -> Answers.json(context, domains()))
			.get("endpoints", (context) -> Answers.blocking(context, this.views.endpoints()::read))
			.get("workers", (context) -> Answers.blocking(context, this.views.batch().workers()::read))
			.get("jobs", (context) -> Answers.blocking(context, this.views.batch().jobs()::read))
			.get("tasks", (context) -> Answers.blocking(context, this.views.batch().tasks()::read))
			.get("explain/task/:id", (context) -> explain(context, this.views.batch().taskExplainer()))
			.get("explain/request/:id", (context) -> explain(context, this.views.requestExplainer()))
			.get("report/burn", (context) -> Answers.blocking(context, this.views.burn()::read))
			.get("events", ViewHandlers::events);
	}

	private StatusView status() {
		Configuration configuration = this.notes.configuration();
		Either<Failure, InForceStatus> inForce = this.notes.inForce();
		return new StatusView(this.entry, configuration.version(), configuration.noteId(),
				inForce.map(InForceStatus::inForce).getOrElse(false), inForce.map(InForceStatus::awaited).getOrElse(List.of()),
				configuration.services().size(), configuration.jobs().size(),
				List.copyOf(new TreeSet<>(configuration.domainsOut())), configuration.endpointsWithdrawn().size(),
				inForce.isRight() ? "ok" : inForce.getLeft().message());
	}

	private List<ServiceView> services() {
		return this.notes.configuration()
			.services()
			.values()
			.stream()
			.map(ServiceView::of)
			.sorted((left, right) -> left.name().compareTo(right.name()))
			.toList();
	}

	private List<DomainView> domains() {
		Set<String> out = this.notes.configuration().domainsOut();
		Set<String> names = new TreeSet<>(this.failureDomains);
		names.addAll(out);
		return names.stream().map((name) -> new DomainView(name, out.contains(name))).toList();
	}

	private static void explain(Context context, Explainer explainer) {
		String id = context.getPathTokens().get("id");
		Answers.blocking(context, () -> explainer.explain(id));
	}

	private static void events(Context context) {
		String after = context.getRequest().getQueryParams().get("after");
		long sequence = (after != null && after.matches("\\d{1,18}")) ? Long.parseLong(after) : 0;
		Answers.json(context, RecentEvents.after(sequence));
	}

}

package org.crocuspost.operations;

import java.util.function.Consumer;

import io.vavr.control.Either;
import org.crocuspost.error.ErrorCode;
import ratpack.func.Action;
import ratpack.handling.Chain;
import ratpack.handling.Context;

/**
 * Handles the routes below {@code /notes}.
 */
final class NoteHandlers implements Action<Chain> {

	private static final int DEFAULT_LIMIT = 20;

	private static final int MAXIMUM_LIMIT = 200;

	private final NoteOperations notes;

	private final int maximumNoteBytes;

	NoteHandlers(NoteOperations notes, int maximumNoteBytes) {
		this.notes = notes;
		this.maximumNoteBytes = maximumNoteBytes;
	}

	@Override
	public void execute(Chain chain) throws Exception {
		chain
			.path((context) -> context
				.byMethod((methods) -> methods.post(() -> submit(context)).get(() -> list(context))))
			.post("check", this::check)
			.get(":id/content", (context) -> Responses.blocking(context, () -> this.notes.content(id(context))))
			.get(":id", (context) -> Responses.blocking(context, () -> this.notes.status(id(context))));
	}

	private static String id(Context context) {
		return context.getPathTokens().get("id");
	}

	private void submit(Context context) {
		withBody(context, (text) -> Responses.blockingOrProblem(context, () -> this.notes.submit(text)));
	}

	private void check(Context context) {
		withBody(context, (text) -> Responses.blocking(context, () -> Either.right(this.notes.check(text))));
	}

	private void withBody(Context context, Consumer<String> action) {
		context.getRequest()
			.getBody(this.maximumNoteBytes,
					() -> Responses.problem(context, ErrorCode.REQUEST_TOO_LARGE.with(this.maximumNoteBytes)))
			.then((body) -> action.accept(body.getText()));
	}

	private void list(Context context) {
		String parameter = context.getRequest().getQueryParams().get("limit");
		Either<String, Integer> limit = limit(parameter);
		if (limit.isLeft()) {
			Responses.problem(context, ErrorCode.MALFORMED.with(limit.getLeft()));
			return;
		}
		Responses.blocking(context, () -> this.notes.list(limit.get()));
	}

	private static Either<String, Integer> limit(String parameter) {
		if (parameter == null) {
			return Either.right(DEFAULT_LIMIT);
		}
		try {
			int limit = Integer.parseInt(parameter);
			if (limit >= 1 && limit <= MAXIMUM_LIMIT) {
				return Either.right(limit);
			}
		}
		catch (NumberFormatException ex) {
			// Reported below.
		}
		return Either.left("limit must be a whole number from 1 to " + MAXIMUM_LIMIT);
	}

}

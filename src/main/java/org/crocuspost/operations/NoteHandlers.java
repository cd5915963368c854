package org.crocuspost.operations;

import java.util.function.Consumer;

import io.vavr.control.Either;
import org.crocuspost.error.ErrorCode;
import ratpack.func.Action;
import ratpack.handling.Chain;
import ratpack.handling.Context;

/**
 * Routes below {@code /notes}.
 */
final class NoteHandlers implements Action<Chain> {

	private static final int DEFAULT_LIMIT = 20;

	private static final int GREATEST_LIMIT = 200;

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
			.get(":id/content", (context) -> Answers.blocking(context, () -> this.notes.content(id(context))))
			.get(":id", (context) -> Answers.blocking(context, () -> this.notes.status(id(context))));
	}

	private static String id(Context context) {
		return context.getPathTokens().get("id");
	}

	private void submit(Context context) {
		withBody(context, (text) -> Answers.blockingOrProblem(context, () -> this.notes.submit(text)));
	}

	private void check(Context context) {
		withBody(context, (text) -> Answers.blocking(context, () -> Either.right(this.notes.check(text))));
	}

	private void withBody(Context context, Consumer<String> action) {
		context.getRequest()
			.getBody(this.maximumNoteBytes,
					() -> Answers.problem(context, ErrorCode.REQUEST_TOO_LARGE.with(this.maximumNoteBytes)))
			.then((body) -> action.accept(body.getText()));
	}

	private void list(Context context) {
		String stated = context.getRequest().getQueryParams().get("limit");
		Either<String, Integer> limit = limit(stated);
		if (limit.isLeft()) {
			Answers.problem(context, ErrorCode.MALFORMED.with(limit.getLeft()));
			return;
		}
		Answers.blocking(context, () -> this.notes.list(limit.get()));
	}

	private static Either<String, Integer> limit(String stated) {
		if (stated == null) {
			return Either.right(DEFAULT_LIMIT);
		}
		try {
			int limit = Integer.parseInt(stated);
			if (limit >= 1 && limit <= GREATEST_LIMIT) {
				return Either.right(limit);
			}
		}
		catch (NumberFormatException ex) {
			// Answered below.
		}
		return Either.left("limit must be a whole number from 1 to " + GREATEST_LIMIT);
	}

}

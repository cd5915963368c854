package org.crocuspost.operations;

import io.vavr.control.Either;
import org.crocuspost.error.ErrorCode;
import org.crocuspost.error.Failure;
import org.crocuspost.json.Json;
import ratpack.exec.Blocking;
import ratpack.func.Factory;
import ratpack.handling.Context;

/**
 * Sends responses to operators.
 */
final class Responses {

	private static final String JSON = "application/json";

	private Responses() {
	}

	static void json(Context context, Object body) {
		context.getResponse().contentType(JSON).send(Json.write(body));
	}

	static void problem(Context context, Failure failure) {
		problem(context, OperationsProblem.of(failure));
	}

	static void problem(Context context, OperationsProblem problem) {
		context.getResponse().status(problem.status()).contentType(OperationsProblem.CONTENT_TYPE);
		context.getResponse().send(Json.write(problem));
	}

	static void notFound(Context context) {
		problem(context, ErrorCode.NOT_FOUND.with("/" + context.getRequest().getPath()));
	}

	static <T> void blocking(Context context, Factory<Either<Failure, T>> call) {
		blockingOrProblem(context, () -> call.create().mapLeft(OperationsProblem::of));
	}

	static <T> void blockingOrProblem(Context context, Factory<Either<OperationsProblem, T>> call) {
		Blocking.get(call)
			.onError((error) -> problem(context, ErrorCode.INTERNAL.with(error.getMessage())))
			.then((result) -> result.peek((body) -> json(context, body)).peekLeft((left) -> problem(context, left)));
	}

}

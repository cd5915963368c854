package org.crocuspost.standin.server;

import java.util.Optional;
import java.util.function.Function;
import java.util.function.Supplier;

import io.vavr.control.Either;
import org.crocuspost.error.ErrorCode;
import org.crocuspost.error.Failure;
import org.crocuspost.platform.http.JsonBodies;
import org.crocuspost.platform.http.ProblemBody;
import ratpack.exec.Blocking;
import ratpack.handling.Context;

/**
 * Sends the results of the stand-ins as HTTP responses.
 */
final class Answers {

	private Answers() {
	}

	static <B> void withBody(Context context, Class<B> type, Function<B, Either<Failure, ?>> operation) {
		context.getRequest().getBody().then((data) -> {
			Optional<B> body = JsonBodies.read(data.getBytes(), type);
			if (body.isPresent()) {
				send(context, () -> operation.apply(body.get()));
			}
			else {
				problem(context, ErrorCode.MALFORMED.with("the body is not a " + type.getSimpleName()));
			}
		});
	}

	static void send(Context context, Supplier<Either<Failure, ?>> operation) {
		Blocking.get(operation::get).then((result) -> {
			if (result.isRight()) {
				json(context, 200, result.get());
			}
			else {
				problem(context, result.getLeft());
			}
		});
	}

	static void json(Context context, int status, Object body) {
		context.getResponse().status(status).send(JsonBodies.CONTENT_TYPE, JsonBodies.write(body));
	}

	/**
	 * Sends a failure. For a lost answer, it closes the connection without a response, as
	 * happens on a network.
	 * @param context the request
	 * @param failure the failure
	 */
	static void problem(Context context, Failure failure) {
		if (failure.code() == ErrorCode.STORE_UNKNOWN) {
			context.getDirectChannelAccess().getChannel().close();
			return;
		}
		context.getResponse()
			.status(failure.code().status())
			.send(ProblemBody.CONTENT_TYPE, JsonBodies.write(ProblemBody.of(failure)));
	}

}

package org.crocuspost.standin.server;

import io.vavr.control.Either;
import io.vavr.control.Option;
import org.crocuspost.error.ErrorCode;
import org.crocuspost.error.Failure;
import org.crocuspost.platform.objects.ObjectStore;
import ratpack.exec.Blocking;
import ratpack.handling.Context;
import ratpack.handling.Handler;

/**
 * Route of the object store, which reads and writes objects by name.
 */
final class ObjectHandlers implements Handler {

	private static final String CONTENT_TYPE = "application/octet-stream";

	private final ObjectStore objects;

	ObjectHandlers(ObjectStore objects) {
		this.objects = objects;
	}

	@Override
	public void handle(Context context) throws Exception {
		String name = context.getRequest().getQueryParams().getOrDefault("name", "");
		context.byMethod((method) -> method.get(() -> get(context, name)).put(() -> put(context, name)));
	}

	private void get(Context context, String name) {
		Blocking.get(() -> this.objects.get(name)).then((result) -> send(context, name, result));
	}

	private static void send(Context context, String name, Either<Failure, Option<byte[]>> result) {
		if (result.isLeft()) {
			Answers.problem(context, result.getLeft());
		}
		else if (result.get().isEmpty()) {
			Answers.problem(context, ErrorCode.NOT_FOUND.with("object " + name));
		}
		else {
			context.getResponse().send(CONTENT_TYPE, result.get().get());
		}
	}

	private void put(Context context, String name) {
		context.getRequest()
			.getBody()
			.then((data) -> Answers.send(context, () -> this.objects.put(name, data.getBytes())));
	}

}

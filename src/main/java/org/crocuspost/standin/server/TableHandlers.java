package org.crocuspost.standin.server;

import io.vavr.control.Either;
import org.crocuspost.error.Failure;
import org.crocuspost.platform.http.JsonBodies;
import org.crocuspost.platform.http.RowsBody;
import org.crocuspost.platform.http.TransactionBody;
import org.crocuspost.platform.table.CommitResult;
import org.crocuspost.platform.table.TableService;
import ratpack.exec.Blocking;
import ratpack.func.Action;
import ratpack.handling.Chain;
import ratpack.handling.Context;

/**
 * Routes of the table service.
 */
final class TableHandlers implements Action<Chain> {

	private static final int OK = 200;

	private static final int CONFLICT = 409;

	private final TableService table;

	TableHandlers(TableService table) {
		this.table = table;
	}

	@Override
	public void execute(Chain chain) {
		chain.get("row", (context) -> Answers.send(context, () -> this.table.read(parameter(context, "key"))))
			.get("rows", (context) -> Answers.send(context, () -> scan(parameter(context, "prefix"))))
			.post("transactions", this::commit);
	}

	private Either<Failure, RowsBody> scan(String prefix) {
		return this.table.scan(prefix).map((rows) -> new RowsBody(rows.asJava()));
	}

	private void commit(Context context) {
		context.getRequest()
			.getBody()
			.then((data) -> JsonBodies.read(data.getBytes(), TransactionBody.class)
				.ifPresentOrElse((body) -> commit(context, body), () -> context.clientError(400)));
	}

	private void commit(Context context, TransactionBody body) {
		Blocking.get(() -> this.table.commit(body.transaction())).then((result) -> {
			if (result.isLeft()) {
				Answers.problem(context, result.getLeft());
			}
			else if (result.get() instanceof CommitResult.Committed committed) {
				Answers.json(context, OK, new RowsBody(committed.rows().asJava()));
			}
			else if (result.get() instanceof CommitResult.Conflict conflict) {
				Answers.json(context, CONFLICT, new RowsBody(conflict.rows().asJava()));
			}
		});
	}

	private static String parameter(Context context, String name) {
		return context.getRequest().getQueryParams().getOrDefault(name, "");
	}

}

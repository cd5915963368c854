package org.crocuspost.cli;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.Objects;

import org.jspecify.annotations.Nullable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.ParentCommand;

/**
 * The command {@code crocuspost explain}.
 */
@Command(name = "explain", description = "Says why a task or a request is in its state.",
		synopsisSubcommandLabel = "COMMAND")
final class ExplainCommand {

	@ParentCommand
	private @Nullable OperatorCommand parent;

	@Command(name = "task", description = "Says why a task waits, was evicted or failed.")
	int task(@Parameters(paramLabel = "ID", description = "The identity of the task.") String id) {
		return explain("/explain/task/", id);
	}

	@Command(name = "request", description = "Says what became of a request and why it was refused.")
	int request(@Parameters(paramLabel = "ID", description = "The identity of the request.") String id) {
		return explain("/explain/request/", id);
	}

	private int explain(String path, String id) {
		String encoded = URLEncoder.encode(id, StandardCharsets.UTF_8).replace("+", "%20");
		return Objects.requireNonNull(this.parent).run((session) -> session.show(session.client().get(path + encoded)));
	}

}

package org.crocuspost.cli;

import java.time.Duration;
import java.util.Objects;
import java.util.concurrent.Callable;

import com.fasterxml.jackson.databind.JsonNode;
import org.crocuspost.json.Json;
import org.jspecify.annotations.Nullable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParentCommand;

/**
 * Implements the command {@code crocuspost events}.
 */
@Command(name = "events", description = "Prints the most recent log events of an entry.")
final class EventsCommand implements Callable<Integer> {

	private static final Duration POLL_INTERVAL = Duration.ofSeconds(1);

	@ParentCommand
	private @Nullable OperatorCommand parent;

	@Option(names = "--follow", description = "Keep printing new events until interrupted.")
	private boolean follow;

	private long newestSequence;

	@Override
	public Integer call() {
		return Objects.requireNonNull(this.parent).run(this::show);
	}

	private ExitCode show(OperatorSession session) {
		ExitCode code = showNew(session);
		while (this.follow && session.pollDelay().pause(POLL_INTERVAL)) {
			code = showNew(session);
		}
		return code;
	}

	private ExitCode showNew(OperatorSession session) {
		CallResult result = session.client().get("/events?after=" + this.newestSequence);
		if (!(result instanceof CallResult.Success success)) {
			return session.showFailure(result);
		}
		for (JsonNode line : success.body()) {
			this.newestSequence = Math.max(this.newestSequence, line.path("sequence").asLong());
			session.print((session.json() ? Json.write(line.path("fields")) : text(line.path("fields"))) + "\n");
		}
		return ExitCode.OK;
	}

	private static String text(JsonNode fields) {
		StringBuilder text = new StringBuilder(fields.path("time").asText()).append(' ')
			.append(fields.path("level").asText())
			.append(' ')
			.append(fields.path("event").asText(fields.path("message").asText()));
		fields.fields().forEachRemaining((field) -> {
			if (!field.getKey().matches("time|level|event|message|logger")) {
				text.append(' ').append(field.getKey()).append('=').append(field.getValue().asText());
			}
		});
		return text.toString();
	}

}

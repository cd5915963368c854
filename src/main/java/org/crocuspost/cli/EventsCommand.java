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
 * The command {@code crocuspost events}.
 */
@Command(name = "events", description = "Shows the newest events of an entry.")
final class EventsCommand implements Callable<Integer> {

	private static final Duration INTERVAL = Duration.ofSeconds(1);

	@ParentCommand
	private @Nullable OperatorCommand parent;

	@Option(names = "--follow", description = "Go on until interrupted.")
	private boolean follow;

	private long newest;

	@Override
	public Integer call() {
		return Objects.requireNonNull(this.parent).run(this::show);
	}

	private ExitCode show(OperatorSession session) {
		ExitCode code = showNew(session);
		while (this.follow && session.pacer().pause(INTERVAL)) {
			code = showNew(session);
		}
		return code;
	}

	private ExitCode showNew(OperatorSession session) {
		ServerAnswer answer = session.client().get("/events?after=" + this.newest);
		if (!(answer instanceof ServerAnswer.Done done)) {
			return session.showFailure(answer);
		}
		for (JsonNode line : done.body()) {
			this.newest = Math.max(this.newest, line.path("sequence").asLong());
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

package org.crocuspost.cli;

import java.time.Duration;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Waits until a note is in force everywhere and shows the progress.
 */
final class InForceWait {

	private static final Duration INTERVAL = Duration.ofMillis(500);

	private final OperatorSession session;

	private final String id;

	private final long polls;

	private String shown = "";

	InForceWait(OperatorSession session, String id, int seconds) {
		this.session = session;
		this.id = id;
		this.polls = Math.max(1, Duration.ofSeconds(seconds).dividedBy(INTERVAL));
	}

	ExitCode await() {
		ServerAnswer answer = ask();
		for (long poll = 0; poll < this.polls && worthWaiting(answer); poll++) {
			showProgress(answer);
			if (!this.session.pacer().pause(INTERVAL)) {
				break;
			}
			answer = ask();
		}
		ExitCode code = this.session.show(answer);
		return (code == ExitCode.OK && !inForce(answer)) ? ExitCode.NOT_YET_IN_FORCE : code;
	}

	private ServerAnswer ask() {
		return this.session.client().get(NoteCommand.path(this.id));
	}

	private static boolean worthWaiting(ServerAnswer answer) {
		if (answer instanceof ServerAnswer.Problem problem) {
			return ExitCode.ofError(problem.code()) == ExitCode.UNAVAILABLE;
		}
		return !inForce(answer);
	}

	private static boolean inForce(ServerAnswer answer) {
		return answer instanceof ServerAnswer.Done done && done.body().path("state").asText().equals("in-force");
	}

	private void showProgress(ServerAnswer answer) {
		String progress = progress(answer);
		if (!progress.equals(this.shown)) {
			this.session.message(progress);
			this.shown = progress;
		}
	}

	private static String progress(ServerAnswer answer) {
		if (answer instanceof ServerAnswer.Done done) {
			StringBuilder names = new StringBuilder();
			for (JsonNode process : done.body().path("awaited")) {
				names.append(' ')
					.append(process.path("role").asText())
					.append('/')
					.append(process.path("name").asText());
			}
			return done.body().path("state").asText() + ", awaiting"
					+ ((names.length() == 0) ? " confirmations" : names);
		}
		if (answer instanceof ServerAnswer.Problem problem) {
			return "waiting: " + problem.body().path("detail").asText();
		}
		return "waiting: " + ((ServerAnswer.Silent) answer).reason();
	}

}

package org.crocuspost.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Either;
import org.crocuspost.json.Json;

/**
 * What a command needs while it runs: the entries, where to write and in which form.
 */
final class OperatorSession {

	private final OperatorClient client;

	private final OutputFormat format;

	private final PrintWriter output;

	private final PrintWriter errors;

	private final Pacer pacer;

	OperatorSession(OperatorClient client, OutputFormat format, PrintWriter output, PrintWriter errors, Pacer pacer) {
		this.client = client;
		this.format = format;
		this.output = output;
		this.errors = errors;
		this.pacer = pacer;
	}

	OperatorClient client() {
		return this.client;
	}

	Pacer pacer() {
		return this.pacer;
	}

	boolean json() {
		return this.format == OutputFormat.json;
	}

	ExitCode show(ServerAnswer answer) {
		if (answer instanceof ServerAnswer.Done done) {
			print(done.body());
			return ExitCode.OK;
		}
		return showFailure(answer);
	}

	ExitCode showFailure(ServerAnswer answer) {
		if (answer instanceof ServerAnswer.Problem problem) {
			showProblem(problem.body());
			return ExitCode.ofError(problem.code());
		}
		ServerAnswer.Silent silent = (ServerAnswer.Silent) answer;
		message("no entry answered: " + silent.reason());
		return silent.mayHaveRun() ? ExitCode.UNKNOWN : ExitCode.UNAVAILABLE;
	}

	private void showProblem(JsonNode problem) {
		if (json()) {
			print(problem);
			return;
		}
		message("error: " + problem.path("detail").asText() + " (" + problem.path("code").asText() + ", "
				+ problem.path("verdict").asText() + ")");
		if (!problem.path("resolution").asText().isEmpty()) {
			message("to resolve: " + problem.path("resolution").asText());
		}
		problem.path("faults").forEach((fault) -> message(faultText(fault)));
		if (!problem.path("notes").isEmpty()) {
			message("accepted meanwhile, newest first: " + TableText.cell(problem.path("notes")));
			problem.path("changes").forEach((change) -> message("  " + changeText(change)));
		}
	}

	static String faultText(JsonNode fault) {
		return "line " + fault.path("line").asInt() + ", column " + fault.path("column").asInt() + ", "
				+ fault.path("path").asText() + ": found " + fault.path("found").asText() + ", allowed is "
				+ fault.path("allowed").asText();
	}

	static String changeText(JsonNode change) {
		String text = change.path("kind").asText().toLowerCase(Locale.ROOT) + " "
				+ change.path("section").asText().toLowerCase(Locale.ROOT).replace('_', ' ') + " "
				+ change.path("name").asText();
		String detail = change.path("detail").asText();
		return detail.isEmpty() ? text : text + ": " + detail;
	}

	void print(JsonNode body) {
		if (json()) {
			this.output.println(Json.write(body));
		}
		else {
			this.output.print(TableText.render(body));
		}
		this.output.flush();
	}

	void print(String text) {
		this.output.print(text);
		this.output.flush();
	}

	void message(String text) {
		this.errors.println(text);
		this.errors.flush();
	}

	static Either<String, String> readFile(Path file) {
		try {
			return Either.right(Files.readString(file, StandardCharsets.UTF_8));
		}
		catch (IOException ex) {
			return Either.left("the file " + file + " cannot be read as UTF-8 text");
		}
	}

}

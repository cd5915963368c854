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
 * Context of one execution of a command: the client that calls the entries, the output
 * format, the output streams and the delay between polls.
 */
final class OperatorSession {

	private final OperatorClient client;

	private final OutputFormat format;

	private final PrintWriter output;

	private final PrintWriter errors;

	private final PollDelay pollDelay;

	OperatorSession(OperatorClient client, OutputFormat format, PrintWriter output, PrintWriter errors,
			PollDelay pollDelay) {
		this.client = client;
		this.format = format;
		this.output = output;
		this.errors = errors;
		this.pollDelay = pollDelay;
	}

	OperatorClient client() {
		return this.client;
	}

	PollDelay pollDelay() {
		return this.pollDelay;
	}

	boolean json() {
		return this.format == OutputFormat.json;
	}

	ExitCode show(CallResult result) {
		if (result instanceof CallResult.Success success) {
			print(success.body());
			return ExitCode.OK;
		}
		return showFailure(result);
	}

	ExitCode showFailure(CallResult result) {
		if (result instanceof CallResult.Problem problem) {
			showProblem(problem.body());
			return ExitCode.ofError(problem.code());
		}
		CallResult.NoAnswer noAnswer = (CallResult.NoAnswer) result;
		printMessage("no response from any entry: " + noAnswer.reason());
		return noAnswer.mayHaveRun() ? ExitCode.UNKNOWN : ExitCode.UNAVAILABLE;
	}

	private void showProblem(JsonNode problem) {
		if (json()) {
			print(problem);
			return;
		}
		printMessage("error: " + problem.path("detail").asText() + " (" + problem.path("code").asText() + ", "
				+ problem.path("verdict").asText() + ")");
		if (!problem.path("resolution").asText().isEmpty()) {
			printMessage("to resolve: " + problem.path("resolution").asText());
		}
		problem.path("faults").forEach((fault) -> printMessage(faultText(fault)));
		if (!problem.path("notes").isEmpty()) {
			printMessage("accepted meanwhile, newest first: " + TableFormatter.cell(problem.path("notes")));
			problem.path("changes").forEach((change) -> printMessage("  " + changeText(change)));
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
			this.output.print(TableFormatter.render(body));
		}
		this.output.flush();
	}

	void print(String text) {
		this.output.print(text);
		this.output.flush();
	}

	void printMessage(String text) {
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

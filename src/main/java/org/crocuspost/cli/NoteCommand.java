package org.crocuspost.cli;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.Objects;
import java.util.function.ToIntFunction;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import org.crocuspost.json.Json;
import org.crocuspost.json.JsonFault;
import org.crocuspost.release.NoteChecker;
import org.crocuspost.release.ReleaseNote;
import org.jspecify.annotations.Nullable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.ParentCommand;

/**
 * Implements the command {@code crocuspost note}.
 */
@Command(name = "note", description = "Checks, submits and inspects release notes.",
		synopsisSubcommandLabel = "COMMAND")
final class NoteCommand {

	private static final String DEFAULT_WAIT_SECONDS = "60";

	@ParentCommand
	private @Nullable OperatorCommand parent;

	@Command(name = "check",
			description = "Reports every fault of a note. Checks only its syntax and fields if no entry is specified.")
	int check(@Parameters(paramLabel = "FILE", description = "The release note.") Path file,
			@Option(names = "--offline",
					description = "Check syntax and fields only, call no entry.") boolean offline) {
		if (offline || parent().connectionSettings().isEmpty()) {
			return withText(file, (text) -> checkForm(file, text));
		}
		return withText(file, (text) -> parent().run((session) -> check(session, file, text, false)));
	}

	@Command(name = "diff", description = "Prints the changes that a note would make.")
	int diff(@Parameters(paramLabel = "FILE", description = "The release note.") Path file) {
		return withText(file, (text) -> parent().run((session) -> check(session, file, text, true)));
	}

	@Command(name = "submit", description = "Submits a note. Submitting the same note again is safe.")
	int submit(@Parameters(paramLabel = "FILE", description = "The release note.") Path file,
			@Option(names = "--wait", description = "Wait until the note is in force everywhere.") boolean wait,
			@Option(names = "--wait-seconds", paramLabel = "SECONDS", defaultValue = DEFAULT_WAIT_SECONDS,
					description = "Maximum wait in seconds. Default: ${DEFAULT-VALUE}.") int waitSeconds) {
		return withText(file, (text) -> (text.length() > NoteChecker.MAXIMUM_LENGTH) ? checkForm(file, text)
				: parent().run((session) -> submit(session, text, wait, waitSeconds)));
	}

	@Command(name = "status", description = "Prints the state of a note: unknown, accepted or in force.")
	int status(@Parameters(paramLabel = "ID", description = "The id of the note.") String id,
			@Option(names = "--wait", description = "Wait until the note is in force everywhere.") boolean wait,
			@Option(names = "--wait-seconds", paramLabel = "SECONDS", defaultValue = DEFAULT_WAIT_SECONDS,
					description = "Maximum wait in seconds. Default: ${DEFAULT-VALUE}.") int waitSeconds) {
		return parent().run((session) -> wait ? new InForceWait(session, id, waitSeconds).await()
				: session.show(session.client().get(path(id))));
	}

	@Command(name = "list", description = "Lists accepted notes, newest first.")
	int list(@Option(names = "--limit", paramLabel = "COUNT", defaultValue = "20",
			description = "Maximum number of notes, up to 200. Default: ${DEFAULT-VALUE}.") int limit) {
		return parent().run((session) -> session.show(session.client().get("/notes?limit=" + limit)));
	}

	@Command(name = "show", description = "Prints the content of an accepted note.")
	int show(@Parameters(paramLabel = "ID", description = "The id of the note.") String id) {
		return parent().run((session) -> session.show(session.client().get(path(id) + "/content")));
	}

	private int withText(Path file, ToIntFunction<String> action) {
		Either<String, String> text = OperatorSession.readFile(file);
		return text.isLeft() ? parent().usageError(text.getLeft()) : action.applyAsInt(text.get());
	}

	private int checkForm(Path file, String text) {
		Either<List<JsonFault>, ReleaseNote> note = NoteChecker.read(text);
		List<JsonFault> faults = note.isLeft() ? note.getLeft() : List.of();
		if (parent().json()) {
			ObjectNode result = Json.mapper().createObjectNode().put("valid", faults.isEmpty());
			result.set("faults", Json.mapper().valueToTree(faults));
			parent().commandLine().getOut().println(Json.write(result));
		}
		else if (faults.isEmpty()) {
			parent().commandLine().getOut().println(file + ": no faults in syntax and fields");
		}
		else {
			faults.forEach((fault) -> parent().commandLine().getErr().println(file + ": " + fault.describe()));
		}
		parent().commandLine().getOut().flush();
		parent().commandLine().getErr().flush();
		return (faults.isEmpty() ? ExitCode.OK : ExitCode.INVALID).code();
	}

	private static ExitCode check(OperatorSession session, Path file, String text, boolean showChanges) {
		CallResult callResult = session.client().post("/notes/check", text.getBytes(StandardCharsets.UTF_8));
		if (!(callResult instanceof CallResult.Success success)) {
			return session.showFailure(callResult);
		}
		JsonNode body = success.body();
		if (session.json()) {
			session.print(body);
		}
		else {
			printCheck(session, file, body, showChanges);
		}
		if (!body.path("faults").isEmpty()) {
			return ExitCode.INVALID;
		}
		return body.path("valid").asBoolean() ? ExitCode.OK : ExitCode.OUTDATED;
	}

	private static void printCheck(OperatorSession session, Path file, JsonNode body, boolean showChanges) {
		body.path("faults").forEach((fault) -> session.printMessage(file + ": " + OperatorSession.faultText(fault)));
		if (body.path("basedOn").asLong() != body.path("version").asLong()) {
			session.printMessage(file + ": written for version " + body.path("basedOn").asLong()
					+ ", but the current version is " + body.path("version").asLong());
		}
		else if (body.path("faults").isEmpty() && !showChanges) {
			session.print(file + ": no faults\n");
		}
		if (showChanges) {
			body.path("changes").forEach((change) -> session.print(OperatorSession.changeText(change) + "\n"));
		}
	}

	private static ExitCode submit(OperatorSession session, String text, boolean wait, int waitSeconds) {
		CallResult callResult = session.client().post("/notes", text.getBytes(StandardCharsets.UTF_8));
		if (wait && callResult instanceof CallResult.Success success) {
			String id = success.body().path("id").asText();
			session.printMessage("accepted as version " + success.body().path("version").asLong());
			return new InForceWait(session, id, waitSeconds).await();
		}
		ExitCode code = session.show(callResult);
		if (code == ExitCode.UNKNOWN) {
			session.printMessage("whether the note was accepted is unknown: " + ExitCode.UNKNOWN.meaning());
		}
		return code;
	}

	static String path(String id) {
		return "/notes/" + URLEncoder.encode(id, StandardCharsets.UTF_8);
	}

	private OperatorCommand parent() {
		return Objects.requireNonNull(this.parent);
	}

}

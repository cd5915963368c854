package org.crocuspost.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import com.fasterxml.jackson.databind.JsonNode;
import org.crocuspost.error.ErrorCode;
import org.crocuspost.json.Json;
import org.crocuspost.release.NoteOutcome;
import org.crocuspost.release.NoteTexts;
import org.crocuspost.retry.RequestOutcome;
import org.crocuspost.standin.WriteFault;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import picocli.CommandLine;

import static org.assertj.core.api.Assertions.assertThat;

class OperatorMainTests {

	private static final int NO_LIMIT = 100_000;

	private static final int CONNECTION_RESET = -1;

	private final OperatorDeployment deployment = new OperatorDeployment(NO_LIMIT);

	private final StringWriter output = new StringWriter();

	private final StringWriter errors = new StringWriter();

	private PollDelay pollDelay = (duration) -> true;

	private String servers = this.deployment.url();

	private String token = OperatorDeployment.TOKEN;

	@TempDir
	private Path directory;

	@AfterEach
	void close() {
		this.deployment.close();
	}

	@Test
	void noteIsCheckedSubmittedAndInForceAfterEveryProcessConfirms() throws IOException {
		Path note = file(NoteTexts.addService("first", 0, "shop"));
		assertThat(run("note", "check", note.toString())).isZero();
		assertThat(run("note", "diff", note.toString())).isZero();
		assertThat(this.output.toString()).contains("added service shop");
		this.deployment.confirm("entry-2", 0);
		assertThat(run("note", "submit", note.toString())).isZero();
		this.pollDelay = (duration) -> {
			this.deployment.confirm("entry-2", 1);
			return true;
		};
		assertThat(run("note", "status", "first", "--wait")).isZero();
		assertThat(this.errors.toString()).contains("accepted, awaiting entry/entry-2");
		assertThat(this.output.toString()).contains("state: in-force");
		assertThat(run("note", "submit", note.toString())).isZero();
		assertThat(this.output.toString()).contains("the same note was accepted before");
		assertThat(run("services")).isZero();
		assertThat(this.output.toString()).containsPattern("shop +\\* +/shop");
	}

	@Test
	void waitTimesOutIfAProcessDoesNotConfirm() throws IOException {
		this.deployment.confirm("entry-2", 0);
		Path note = file(NoteTexts.addService("first", 0, "shop"));
		assertThat(run("note", "submit", note.toString(), "--wait", "--wait-seconds", "3"))
			.isEqualTo(ExitCode.NOT_YET_IN_FORCE.code());
		assertThat(this.errors.toString()).contains("awaiting entry/entry-2");
	}

	@Test
	void checkReportsEveryFaultWithLineAndPath() throws IOException {
		Path note = file(
				"{\"id\": \"a\", \"basedOn\": 0,\n\"domains\": {\"out\": [\"zone-x\"],\n\"back\": [\"zone-a\"]}}");
		assertThat(run("note", "check", note.toString())).isEqualTo(ExitCode.INVALID.code());
		assertThat(this.errors.toString()).contains("line 2, column 21, $.domains.out[0]: found \"zone-x\"")
			.contains("line 3, column 10, $.domains.back[0]: found \"zone-a\"");
	}

	@Test
	void checkWithoutEntryReportsFaultsOfTheForm() throws IOException {
		this.servers = "";
		assertThat(run("note", "check", file("{\"id\": 1}").toString(), "--output", "json"))
			.isEqualTo(ExitCode.INVALID.code());
		JsonNode result = Json.read(this.output.toString(), JsonNode.class);
		assertThat(result.path("faults")).hasSize(2);
	}

	@Test
	void outdatedNoteIsRefusedWithTheChangesAcceptedMeanwhile() throws IOException {
		run("note", "submit", file(NoteTexts.domainOut("first", 0, "zone-a")).toString());
		assertThat(run("note", "submit", file(NoteTexts.addService("second", 0, "shop")).toString()))
			.isEqualTo(ExitCode.OUTDATED.code());
		assertThat(this.errors.toString()).contains("accepted meanwhile, newest first: first")
			.contains("withdrawn failure domain zone-a");
	}

	@Test
	void submitWithUnknownOutcomeExplainsHowToResolveIt() throws IOException {
		Path note = file(NoteTexts.addService("first", 0, "shop"));
		this.deployment.table().faults().nextWrites(WriteFault.HELD, WriteFault.HELD, WriteFault.HELD);
		assertThat(run("note", "submit", note.toString())).isEqualTo(ExitCode.UNKNOWN.code());
		assertThat(this.errors.toString()).contains("may-have-run").contains("submit the same note again");
		assertThat(run("note", "status", "first")).isZero();
		assertThat(this.output.toString()).contains("state: unknown");
		this.deployment.table().applyHeld();
		assertThat(run("note", "status", "first")).isZero();
		assertThat(this.output.toString()).contains("state: accepted");
	}

	@Test
	void noteWithUnknownOutcomeIsNotFoundAfterAnotherNoteIsAccepted() throws IOException {
		this.deployment.table().faults().nextWrites(WriteFault.HELD, WriteFault.HELD, WriteFault.HELD);
		run("note", "submit", file(NoteTexts.addService("first", 0, "shop")).toString());
		run("note", "submit", file(NoteTexts.addService("second", 0, "desk")).toString());
		this.deployment.table().applyHeld();
		assertThat(run("note", "status", "first")).isEqualTo(ExitCode.NOT_FOUND.code());
	}

	@Test
	void storeOutageIsReportedAsUnavailableWithoutEffect() throws IOException {
		this.deployment.table().faults().down(true);
		assertThat(run("note", "submit", file(NoteTexts.addService("first", 0, "shop")).toString()))
			.isEqualTo(ExitCode.UNAVAILABLE.code());
		assertThat(this.errors.toString()).contains("not-run");
		assertThat(run("note", "list")).isEqualTo(ExitCode.UNAVAILABLE.code());
		assertThat(run("status")).isZero();
	}

	@Test
	void callFailsOverToTheNextEntry() throws IOException {
		this.servers = "http://127.0.0.1:1," + this.deployment.url();
		assertThat(run("note", "submit", file(NoteTexts.addService("first", 0, "shop")).toString())).isZero();
		this.servers = "http://127.0.0.1:1";
		assertThat(run("status")).isEqualTo(ExitCode.UNAVAILABLE.code());
	}

	@Test
	void submitFailsOverIfAnEntryIsKilledBetweenCommitAndReply() throws Exception {
		String text = NoteTexts.addService("first", 0, "shop");
		try (ServerSocket killedEntry = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
			CompletableFuture<Void> kill = CompletableFuture.runAsync(() -> acceptNoteAndDisconnect(killedEntry, text));
			this.servers = "http://127.0.0.1:" + killedEntry.getLocalPort() + "," + this.deployment.url();
			assertThat(run("note", "submit", file(text).toString())).isZero();
			kill.get();
		}
		assertThat(this.output.toString()).contains("version: 1").contains("the same note was accepted before");
	}

	private void acceptNoteAndDisconnect(ServerSocket killedEntry, String text) {
		try (Socket connection = killedEntry.accept()) {
			connection.getInputStream().read();
			assertThat(this.deployment.acceptance().submit(text))
				.isEqualTo(new NoteOutcome.Accepted("first", 1, false));
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	@Test
	void wrongTokenIsRefusedAndNotPrinted() {
		this.token = "guessed-token";
		assertThat(run("status")).isEqualTo(ExitCode.REFUSED.code());
		assertThat(this.errors.toString()).contains("a valid bearer token is required")
			.doesNotContain("guessed-token")
			.doesNotContain(OperatorDeployment.TOKEN);
	}

	@Test
	void noteThatIsTooLargeIsRefusedBeforeItIsSent() throws IOException {
		Path large = file(" ".repeat(10_000_000));
		assertThat(run("note", "submit", large.toString())).isEqualTo(ExitCode.INVALID.code());
		assertThat(this.errors.toString()).contains("at most 1048576 characters");
	}

	@Test
	void entryServesCallsAfterABodyThatIsTooLarge() throws Exception {
		HttpRequest request = HttpRequest.newBuilder(URI.create(this.deployment.url() + "/notes"))
			.header("Authorization", "Bearer " + this.token)
			.POST(HttpRequest.BodyPublishers.ofString(" ".repeat(10_000_000)))
			.build();
		assertThat(statusOrReset(request)).isIn(413, CONNECTION_RESET);
		assertThat(run("note", "list")).isZero();
	}

	private static int statusOrReset(HttpRequest request) throws InterruptedException {
		try {
			return HttpClient.newHttpClient().send(request, HttpResponse.BodyHandlers.discarding()).statusCode();
		}
		catch (IOException ex) {
			return CONNECTION_RESET;
		}
	}

	@Test
	void listAndShowPrintAcceptedNotes() throws IOException {
		run("note", "submit", file(NoteTexts.addService("first", 0, "shop")).toString());
		run("note", "submit", file(NoteTexts.domainOut("second", 1, "zone-a")).toString());
		assertThat(run("note", "list", "--output", "json")).isZero();
		assertThat(this.output.toString()).containsSubsequence("\"id\":\"second\"", "\"id\":\"first\"");
		assertThat(run("note", "show", "second")).isZero();
		assertThat(this.output.toString()).contains("out=zone-a");
		assertThat(run("domains")).isZero();
		assertThat(this.output.toString()).containsPattern("zone-a +true").containsPattern("zone-b +false");
	}

	@Test
	void burnReportIsPrintedAsTableAndWrittenAsPage() throws IOException {
		run("note", "submit", file(NoteTexts.addService("first", 0, "shop")).toString());
		this.deployment.levels().record("shop", true, Duration.ofMillis(20));
		this.deployment.levels().record("shop", false, Duration.ofMillis(20));
		assertThat(run("report", "burn")).isZero();
		assertThat(this.output.toString()).containsPattern("shop +page +PT5M +2 +500.00 +0.00");
		Path page = this.directory.resolve("burn.html");
		assertThat(run("report", "burn", "--html", page.toString())).isZero();
		assertThat(Files.readString(page)).contains("<h2>shop</h2>", "data:image/png;base64,");
	}

	@Test
	void requestsAndTasksAreExplained() {
		this.deployment.requests()
			.requestEnded("r-1", "shop", RequestOutcome.of(ErrorCode.OVERLOADED.with("shop")), Duration.ofMillis(3));
		assertThat(run("explain", "request", "r-1")).isZero();
		assertThat(this.output.toString()).contains("state: not-run")
			.contains("overloaded: service shop is overloaded");
		assertThat(run("explain", "request", "r-2")).isEqualTo(ExitCode.NOT_FOUND.code());
		assertThat(run("explain", "task", "job/0")).isZero();
		assertThat(this.output.toString()).contains("id: job/0").contains("no free capacity");
	}

	@Test
	void eventsArePrinted() throws IOException {
		run("note", "submit", file(NoteTexts.addService("first", 0, "shop")).toString());
		assertThat(run("events")).isZero();
		assertThat(this.output.toString()).contains("configuration-adopted").contains("noteId=first");
	}

	@ParameterizedTest
	@CsvSource({ "note submit", "note list --limit many", "--output xml status", "unknown-command", "note",
			"note submit missing-file" })
	void invalidArgumentsExitWithUsageCode(String arguments) {
		assertThat(run(arguments.split(" "))).isEqualTo(ExitCode.USAGE.code());
	}

	@ParameterizedTest
	@ValueSource(strings = { "http://", "ftp://127.0.0.1:1", "127.0.0.1:1", "http://a b" })
	void invalidAddressExitsWithUsageCode(String address) {
		this.servers = address;
		assertThat(run("status")).isEqualTo(ExitCode.USAGE.code());
	}

	@ParameterizedTest
	@ValueSource(strings = { "--help", "--version", "generate-completion", "note --help" })
	void helpNeedsNoEntry(String arguments) {
		this.servers = "";
		assertThat(run(arguments.split(" "))).isZero();
		assertThat(this.output.toString()).contains("crocuspost");
	}

	@Test
	void requestsAboveTheRateLimitAreRefused() throws Exception {
		try (OperatorDeployment limited = new OperatorDeployment(1)) {
			HttpRequest request = HttpRequest.newBuilder(URI.create(limited.url() + "/status")).build();
			HttpClient client = HttpClient.newHttpClient();
			int[] statuses = new int[20];
			for (int index = 0; index < statuses.length; index++) {
				statuses[index] = client.send(request, HttpResponse.BodyHandlers.discarding()).statusCode();
			}
			assertThat(statuses).contains(401, 429);
		}
	}

	private Path file(String text) throws IOException {
		return Files.writeString(Files.createTempFile(this.directory, "note", ".json"), text);
	}

	private int run(String... arguments) {
		this.output.getBuffer().setLength(0);
		this.errors.getBuffer().setLength(0);
		Map<String, String> environment = this.servers.isEmpty() ? Map.of()
				: Map.of("CROCUSPOST_SERVER", this.servers, "CROCUSPOST_TOKEN", this.token);
		CommandLine commandLine = OperatorMain.commandLine(environment, (duration) -> this.pollDelay.pause(duration));
		commandLine.setOut(new PrintWriter(this.output, true));
		commandLine.setErr(new PrintWriter(this.errors, true));
		return commandLine.execute(arguments);
	}

}

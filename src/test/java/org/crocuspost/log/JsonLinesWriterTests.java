package org.crocuspost.log;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;
import org.crocuspost.json.Json;
import org.junit.jupiter.api.Test;
import org.tinylog.Level;
import org.tinylog.core.LogEntry;
import org.tinylog.runtime.RuntimeProvider;

import static org.assertj.core.api.Assertions.assertThat;

class JsonLinesWriterTests {

	private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();

	private final JsonLinesWriter writer = new JsonLinesWriter(
			new PrintStream(this.bytes, true, StandardCharsets.UTF_8));

	@Test
	void eventIsWrittenAsOneLineWithItsFields() {
		this.writer.write(entry("ready", Map.of("event", "ready", "callers", "127.0.0.1:1"), null));
		JsonNode line = line();
		assertThat(line.get("event").asText()).isEqualTo("ready");
		assertThat(line.get("callers").asText()).isEqualTo("127.0.0.1:1");
		assertThat(line.get("level").asText()).isEqualTo("info");
		assertThat(line.has("message")).isFalse();
	}

	@Test
	void libraryMessageIsWrittenWithItsTextAndException() {
		this.writer.write(entry("two\nlines", Map.of(), new IllegalStateException("cause")));
		JsonNode line = line();
		assertThat(line.get("message").asText()).isEqualTo("two\nlines");
		assertThat(line.get("exception").asText()).contains("IllegalStateException: cause");
	}

	private JsonNode line() {
		String text = this.bytes.toString(StandardCharsets.UTF_8);
		assertThat(text.strip()).doesNotContain("\n");
		return Json.read(text, JsonNode.class);
	}

	private static LogEntry entry(String message, Map<String, String> context, Throwable exception) {
		return new LogEntry(RuntimeProvider.createTimestamp(), Thread.currentThread(), context, "Example", "method",
				"Example.java", 1, null, Level.INFO, message, exception);
	}

}

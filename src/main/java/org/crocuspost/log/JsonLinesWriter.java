package org.crocuspost.log;

import java.io.PrintStream;
import java.util.Collection;
import java.util.EnumSet;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.function.Consumer;

import org.crocuspost.json.Json;
import org.tinylog.core.LogEntry;
import org.tinylog.core.LogEntryValue;
import org.tinylog.writers.Writer;

/**
 * Writes each log entry as one line of JSON to standard output. The logging configuration
 * of tinylog refers to this class by the name "json lines".
 */
public final class JsonLinesWriter implements Writer {

	/**
	 * Maximum time, in nanoseconds, to wait for the last lines when the process ends.
	 */
	private static final long FLUSH_TIMEOUT_NANOS = 300_000_000;

	private static final int START_OF_TEXT = 0;

	private final Consumer<String> output;

	private final Runnable flush;

	/**
	 * Creates the writer. tinylog requires a constructor with this parameter.
	 * @param properties the properties from the logging configuration; unused
	 */
	public JsonLinesWriter(Map<String, String> properties) {
		LineQueue queue = new LineQueue(JsonLinesWriter::writeToStandardOutput, LineQueue.CAPACITY);
		this.output = queue::add;
		this.flush = () -> queue.flush(FLUSH_TIMEOUT_NANOS);
	}

	JsonLinesWriter(PrintStream output) {
		this.output = output::println;
		this.flush = output::flush;
	}

	private static void writeToStandardOutput(byte[] text) {
		System.out.write(text, START_OF_TEXT, text.length);
		System.out.flush();
	}

	@Override
	public Collection<LogEntryValue> getRequiredLogEntryValues() {
		return EnumSet.of(LogEntryValue.DATE, LogEntryValue.LEVEL, LogEntryValue.MESSAGE, LogEntryValue.CLASS,
				LogEntryValue.CONTEXT, LogEntryValue.EXCEPTION);
	}

	@Override
	public void write(LogEntry logEntry) {
		Map<String, String> line = new LinkedHashMap<>();
		line.put("time", logEntry.getTimestamp().toInstant().toString());
		line.put("level", logEntry.getLevel().name().toLowerCase(Locale.ROOT));
		line.putAll(logEntry.getContext());
		if (!line.containsKey(EventLog.EVENT_FIELD)) {
			line.put("logger", logEntry.getClassName());
			line.put("message", String.valueOf(logEntry.getMessage()));
		}
		Throwable exception = logEntry.getException();
		if (exception != null) {
			line.put("exception", stackTrace(exception));
		}
		RecentEvents.add(line);
		this.output.accept(Json.write(line));
	}

	private static String stackTrace(Throwable exception) {
		java.io.StringWriter text = new java.io.StringWriter();
		exception.printStackTrace(new java.io.PrintWriter(text));
		return text.toString();
	}

	@Override
	public void flush() {
		this.flush.run();
	}

	@Override
	public void close() {
		flush();
	}

}

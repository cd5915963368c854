package org.crocuspost.log;

import org.tinylog.Logger;
import org.tinylog.ThreadContext;
import org.tinylog.provider.ProviderRegistry;

/**
 * Writes events to the log. Each event is written as one JSON line with its name, its
 * fields, the time and the level.
 */
public final class EventLog {

	/**
	 * Name of the log field with the name of the event.
	 */
	static final String EVENT_FIELD = "event";

	private EventLog() {
	}

	/**
	 * Logs an event of normal operation.
	 * @param event the kind of event
	 * @param fields the fields of the event
	 */
	public static void info(LogEvent event, Field... fields) {
		withFields(event, fields, () -> Logger.info(event.eventName()));
	}

	/**
	 * Logs an event that needs the attention of an operator.
	 * @param event the kind of event
	 * @param fields the fields of the event
	 */
	public static void warn(LogEvent event, Field... fields) {
		withFields(event, fields, () -> Logger.warn(event.eventName()));
	}

	/**
	 * Logs an internal error of crocuspost.
	 * @param cause the exception
	 * @param event the kind of event
	 * @param fields the fields of the event
	 */
	public static void error(Throwable cause, LogEvent event, Field... fields) {
		withFields(event, fields, () -> Logger.error(cause, event.eventName()));
	}

	/**
	 * Writes buffered lines and shuts down logging; waits a bounded time. Called when the
	 * process ends.
	 */
	public static void flush() {
		try {
			ProviderRegistry.getLoggingProvider().shutdown();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private static void withFields(LogEvent event, Field[] fields, Runnable write) {
		ThreadContext.put(EVENT_FIELD, event.eventName());
		for (Field field : fields) {
			ThreadContext.put(field.name(), field.value());
		}
		try {
			write.run();
		}
		finally {
			ThreadContext.clear();
		}
	}

}

package org.crocuspost.log;

import org.tinylog.Logger;
import org.tinylog.ThreadContext;
import org.tinylog.provider.ProviderRegistry;

/**
 * Writes events to the log. Each event becomes one JSON line with its name, its fields,
 * the time and the level.
 */
public final class EventLog {

	/**
	 * Name of the field that holds the name of the event.
	 */
	static final String EVENT_FIELD = "event";

	private EventLog() {
	}

	/**
	 * Logs an event of ordinary work.
	 * @param event the kind of event
	 * @param fields the values
	 */
	public static void info(LogEvent event, Field... fields) {
		withFields(event, fields, () -> Logger.info(event.eventName()));
	}

	/**
	 * Logs an event that an operator should look at.
	 * @param event the kind of event
	 * @param fields the values
	 */
	public static void warn(LogEvent event, Field... fields) {
		withFields(event, fields, () -> Logger.warn(event.eventName()));
	}

	/**
	 * Logs a fault of crocuspost itself.
	 * @param cause the exception
	 * @param event the kind of event
	 * @param fields the values
	 */
	public static void error(Throwable cause, LogEvent event, Field... fields) {
		withFields(event, fields, () -> Logger.error(cause, event.eventName()));
	}

	/**
	 * Writes what is still buffered, within a bounded time. For the end of a process.
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

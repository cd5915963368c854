package org.crocuspost.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import org.crocuspost.platform.hosted.HostedMain;
import org.jspecify.annotations.Nullable;

/**
 * Runs a program of crocuspost as an operating system process that can be stopped and
 * started again. Each start writes a log file of its own.
 */
final class ServerProcess implements AutoCloseable {

	private final String name;

	private final String role;

	private final Path folder;

	private final Path settings;

	private @Nullable Process process;

	private int incarnations;

	private boolean stopRequested;

	ServerProcess(String name, String role, Path folder, String settings) {
		this.name = name;
		this.role = role;
		this.folder = folder;
		this.settings = folder.resolve(name + ".conf");
		try {
			Files.writeString(this.settings, settings);
		}
		catch (IOException ex) {
			throw new IllegalStateException("the settings of " + name + " cannot be written", ex);
		}
	}

	String name() {
		return this.name;
	}

	synchronized void start() {
		this.incarnations++;
		List<String> command = new ArrayList<>(List.of(Path.of(System.getProperty("java.home"), "bin/java").toString(),
				"-Xmx64m", "-Xss256k", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-cp",
				System.getProperty("java.class.path"), HostedMain.class.getName(), this.role));
		ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true)
			.redirectOutput(this.folder.resolve(this.name + "-" + this.incarnations + ".log").toFile());
		builder.environment().put("CROCUSPOST_SETTINGS", this.settings.toString());
		try {
			this.process = builder.start();
			this.stopRequested = false;
		}
		catch (IOException ex) {
			throw new IllegalStateException(this.name + " cannot be started", ex);
		}
	}

	synchronized void kill() {
		this.stopRequested = true;
		if (this.process != null) {
			this.process.destroyForcibly();
		}
	}

	synchronized void terminate() {
		this.stopRequested = true;
		if (this.process != null) {
			this.process.destroy();
		}
	}

	/**
	 * Sends a signal to the process. Does nothing if the process is not running.
	 * @param signal the name of the signal without the prefix {@code SIG}
	 */
	synchronized void signal(String signal) {
		if (this.process == null || !this.process.isAlive()) {
			return;
		}
		try {
			new ProcessBuilder("kill", "-" + signal, String.valueOf(this.process.pid())).start().waitFor();
		}
		catch (IOException ex) {
			throw new IllegalStateException("cannot send a signal to process " + this.name, ex);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	synchronized boolean alive() {
		return this.process != null && this.process.isAlive();
	}

	/**
	 * Returns whether the last incarnation was killed or asked to terminate.
	 * @return true if it was
	 */
	synchronized boolean stopRequested() {
		return this.stopRequested;
	}

	/**
	 * Returns whether the process exited without a request to stop.
	 * @return true if it did
	 */
	synchronized boolean exitedUnexpectedly() {
		return this.process != null && !this.process.isAlive() && !this.stopRequested;
	}

	@Override
	public void close() {
		kill();
		Process current = this.process;
		try {
			if (current != null && !current.waitFor(5, TimeUnit.SECONDS)) {
				throw new IllegalStateException(this.name + " is still running 5 s after it was killed");
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}

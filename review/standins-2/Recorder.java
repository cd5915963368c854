import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Writes what was sent, answered and run, and keeps it for the check. */
final class Recorder implements AutoCloseable {

	/** A start order that a worker carried out. */
	record Start(long millis, String worker, String task, int run, String checkpoint, String spec) {
	}

	/** An end of a run on a worker, also by a crash. */
	record End(long millis, String worker, String task, int run, String how) {
	}

	private final long origin = System.nanoTime();

	private final PrintWriter out;

	final List<Start> starts = new ArrayList<>();

	final List<End> ends = new ArrayList<>();

	Recorder(Path file) throws IOException {
		this.out = new PrintWriter(file.toFile());
	}

	long now() {
		return (System.nanoTime() - this.origin) / 1_000_000;
	}

	synchronized void line(String text) {
		this.out.printf("%7.3f %s%n", now() / 1000.0, text);
		this.out.flush();
	}

	synchronized void start(Start start) {
		this.starts.add(start);
		line("run    " + start.worker + " starts " + start.task + " run " + start.run
				+ (start.checkpoint.isEmpty() ? "" : " checkpoint " + start.checkpoint));
	}

	synchronized void end(End end) {
		this.ends.add(end);
		line("end    " + end.worker + " " + end.task + " run " + end.run + " " + end.how);
	}

	synchronized List<Start> startsOf(String prefix) {
		return this.starts.stream().filter((start) -> start.task.startsWith(prefix)).toList();
	}

	synchronized List<End> endsOf(String prefix) {
		return this.ends.stream().filter((end) -> end.task.startsWith(prefix)).toList();
	}

	@Override
	public synchronized void close() {
		this.out.close();
	}

}

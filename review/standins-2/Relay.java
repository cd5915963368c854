import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/**
 * Relay before the port of an agent for leaders. It can cut the path of one process: what that process sends and
 * receives waits until the path is whole, as in a partition.
 */
final class Relay implements AutoCloseable {

	private final ServerSocket server;

	private final String[] names;

	private volatile String cut = "";

	Relay(String listen, String target, String... names) {
		this.names = names;
		try {
			this.server = new ServerSocket();
			this.server.setReuseAddress(true);
			this.server.bind(Http.address(listen));
		}
		catch (IOException ex) {
			throw new IllegalStateException("no relay at " + listen, ex);
		}
		run(() -> {
			while (true) {
				Socket source = this.server.accept();
				run(() -> connect(source, target));
			}
		});
	}

	/** Cuts the path of a process; an empty name makes all paths whole. */
	void cut(String name) {
		this.cut = name;
	}

	private interface Action {

		void run() throws IOException, InterruptedException;

	}

	private static void run(Action action) {
		Thread thread = new Thread(() -> {
			try {
				action.run();
			}
			catch (IOException | InterruptedException ex) {
				// The connection or the relay has ended.
			}
		});
		thread.setDaemon(true);
		thread.start();
	}

	private void connect(Socket source, String target) throws IOException, InterruptedException {
		byte[] buffer = new byte[65_536];
		int length = 0;
		String name = "";
		// The first message of a leader names its process.
		while (name.isEmpty()) {
			int more = source.getInputStream().read(buffer, length, buffer.length - length);
			if (more <= 0) {
				source.close();
				return;
			}
			length += more;
			String text = new String(buffer, 0, length, StandardCharsets.ISO_8859_1);
			for (String candidate : this.names) {
				name = text.contains(candidate) ? candidate : name;
			}
		}
		awaitPath(name);
		Socket sink = new Socket();
		try {
			sink.connect(Http.address(target), 1_000);
		}
		catch (IOException ex) {
			source.close();
			return;
		}
		sink.setTcpNoDelay(true);
		source.setTcpNoDelay(true);
		sink.getOutputStream().write(buffer, 0, length);
		String process = name;
		run(() -> forward(sink, source, process));
		forward(source, sink, process);
	}

	private void forward(Socket from, Socket to, String process) throws IOException, InterruptedException {
		byte[] buffer = new byte[65_536];
		try {
			InputStream in = from.getInputStream();
			OutputStream out = to.getOutputStream();
			for (int length = in.read(buffer); length >= 0; length = in.read(buffer)) {
				awaitPath(process);
				out.write(buffer, 0, length);
			}
		}
		finally {
			awaitPath(process);
			from.close();
			to.close();
		}
	}

	private void awaitPath(String process) throws InterruptedException {
		while (this.cut.equals(process)) {
			Thread.sleep(10);
		}
	}

	@Override
	public void close() {
		try {
			this.server.close();
		}
		catch (IOException ex) {
			// The relay ends with the process.
		}
	}

}

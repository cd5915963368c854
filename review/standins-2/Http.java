import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** HTTP/1.1 servers and a client for the stand-ins. */
final class Http {

	private static final ObjectMapper MAPPER = new ObjectMapper();

	static {
		System.setProperty("sun.net.httpserver.nodelay", "true");
		System.setProperty("sun.net.httpserver.maxIdleConnections", "1000");
	}

	record Request(String method, String path, String rawQuery, Map<String, String> headers, byte[] body) {

		JsonNode json() {
			try {
				return MAPPER.readTree(this.body);
			}
			catch (IOException ex) {
				throw new IllegalStateException(ex);
			}
		}

		Map<String, String> query() {
			Map<String, String> query = new HashMap<>();
			for (String part : (this.rawQuery != null) ? this.rawQuery.split("&") : new String[0]) {
				int equals = part.indexOf('=');
				query.put(part.substring(0, equals),
						URLDecoder.decode(part.substring(equals + 1), StandardCharsets.UTF_8));
			}
			return query;
		}

	}

	record Answer(int status, ObjectNode body) {
	}

	interface Handler {

		/** Returns the answer, or null to close the connection without one. */
		Answer handle(Request request) throws InterruptedException;

	}

	interface Server extends AutoCloseable {

		@Override
		void close();

	}

	private Http() {
	}

	static ObjectNode object() {
		return MAPPER.createObjectNode();
	}

	static JsonNode read(byte[] json) {
		try {
			return MAPPER.readTree(json);
		}
		catch (IOException ex) {
			throw new IllegalStateException(ex);
		}
	}

	static InetSocketAddress address(String text) {
		int colon = text.indexOf(':');
		return new InetSocketAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
	}

	static Server serve(String address, Handler handler) {
		try {
			HttpServer server = HttpServer.create(address(address), 128);
			ExecutorService executor = Executors.newCachedThreadPool((task) -> {
				Thread thread = new Thread(task);
				thread.setDaemon(true);
				return thread;
			});
			server.setExecutor(executor);
			server.createContext("/", (exchange) -> exchange(exchange, handler));
			server.start();
			return () -> {
				server.stop(0);
				executor.shutdownNow();
			};
		}
		catch (IOException ex) {
			throw new IllegalStateException("no server at " + address, ex);
		}
	}

	private static void exchange(HttpExchange exchange, Handler handler) throws IOException {
		try {
			Map<String, String> headers = new HashMap<>();
			exchange.getRequestHeaders().forEach((name, values) -> headers.put(name.toLowerCase(), values.get(0)));
			Request request = new Request(exchange.getRequestMethod(), exchange.getRequestURI().getPath(),
					exchange.getRequestURI().getRawQuery(), headers, exchange.getRequestBody().readAllBytes());
			Answer answer = handler.handle(request);
			if (answer == null) {
				throw new IOException("closed without an answer");
			}
			byte[] body = MAPPER.writeValueAsBytes(answer.body());
			exchange.getResponseHeaders().set("Content-Type", "application/json");
			exchange.sendResponseHeaders(answer.status(), body.length);
			exchange.getResponseBody().write(body);
			exchange.close();
		}
		catch (InterruptedException ex) {
			throw new IOException(ex);
		}
		catch (RuntimeException ex) {
			ex.printStackTrace();
			throw ex;
		}
	}

	/** Makes a call on a connection of its own. Returns null if there is no complete answer in time. */
	static Answer call(String address, String method, String path, Map<String, String> headers, byte[] body,
			int timeoutMillis) {
		try (Socket socket = new Socket()) {
			socket.connect(address(address), timeoutMillis);
			socket.setSoTimeout(timeoutMillis);
			StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\n");
			headers.forEach((name, value) -> head.append(name + ": " + value + "\r\n"));
			head.append("Content-Type: application/json\r\nConnection: close\r\nContent-Length: " + body.length
					+ "\r\n\r\n");
			ByteArrayOutputStream message = new ByteArrayOutputStream();
			message.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
			message.write(body);
			socket.getOutputStream().write(message.toByteArray());
			InputStream in = socket.getInputStream();
			String response = new String(in.readAllBytes(), StandardCharsets.UTF_8);
			int end = response.indexOf("\r\n\r\n");
			if (end < 0) {
				return null;
			}
			int status = Integer.parseInt(response.substring(9, 12));
			String text = response.substring(end + 4);
			int start = text.indexOf('{');
			int stop = text.lastIndexOf('}');
			JsonNode json = (start >= 0 && stop > start)
					? read(text.substring(start, stop + 1).getBytes(StandardCharsets.UTF_8)) : object();
			return new Answer(status, (ObjectNode) json);
		}
		catch (IOException ex) {
			return null;
		}
	}

}

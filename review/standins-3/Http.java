import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Minimal HTTP/1.1 client, one connection for each call.
 */
final class Http {

	record Answer(int status, String body) {
	}

	private Http() {
	}

	static Answer call(InetSocketAddress address, String host, String method, String path, String body, int millis)
			throws IOException {
		return call(address, host, method, path, body, millis, new LinkedHashMap<>());
	}

	static Answer call(InetSocketAddress address, String host, String method, String path, String body, int millis,
			Map<String, String> headers) throws IOException {
		try (Socket socket = new Socket()) {
			socket.setSoTimeout(millis);
			socket.connect(address, millis);
			byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
			StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\n");
			headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
			if (bytes.length > 0 || !method.equals("GET")) {
				head.append("Content-Type: application/json\r\nContent-Length: ").append(bytes.length).append("\r\n");
			}
			head.append("Connection: close\r\n\r\n");
			socket.getOutputStream().write(head.toString().getBytes(StandardCharsets.UTF_8));
			socket.getOutputStream().write(bytes);
			socket.getOutputStream().flush();
			return read(socket.getInputStream());
		}
	}

	private static Answer read(InputStream input) throws IOException {
		ByteArrayOutputStream head = new ByteArrayOutputStream();
		while (!head.toString(StandardCharsets.ISO_8859_1).endsWith("\r\n\r\n")) {
			int next = input.read();
			if (next < 0) {
				throw new IOException("the connection ended in the head");
			}
			head.write(next);
		}
		String text = head.toString(StandardCharsets.ISO_8859_1);
		int status = Integer.parseInt(text.substring(9, 12));
		int length = 0;
		for (String line : text.split("\r\n")) {
			if (line.toLowerCase().startsWith("content-length:")) {
				length = Integer.parseInt(line.substring(15).trim());
			}
		}
		byte[] body = input.readNBytes(length);
		if (body.length < length) {
			throw new IOException("the connection ended in the body");
		}
		return new Answer(status, new String(body, StandardCharsets.UTF_8));
	}

}

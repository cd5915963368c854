package org.crocuspost.cli;

import java.io.IOException;
import java.net.URI;
import java.net.URISyntaxException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import io.vavr.control.Either;
import org.crocuspost.settings.OperatorSettings;
import org.crocuspost.settings.Secret;
import org.crocuspost.settings.SettingsFile;
import org.jspecify.annotations.Nullable;
import picocli.CommandLine.Option;
import picocli.CommandLine.ScopeType;

/**
 * Options that select the entries to call and the bearer token to authenticate with.
 */
final class ConnectionOptions {

	/**
	 * Environment variable with the addresses of the entries, separated by commas.
	 */
	static final String SERVER_VARIABLE = "CROCUSPOST_SERVER";

	/**
	 * Environment variable with the bearer token.
	 */
	static final String TOKEN_VARIABLE = "CROCUSPOST_TOKEN";

	@Option(names = "--server", paramLabel = "URL", scope = ScopeType.INHERIT,
			description = "Address of an entry's operator interface; may be repeated. "
					+ "Default: $CROCUSPOST_SERVER, separated by commas.")
	private List<URI> servers = new ArrayList<>();

	@Option(names = "--token-file", paramLabel = "FILE", scope = ScopeType.INHERIT,
			description = "File with the bearer token. Default: $CROCUSPOST_TOKEN.")
	private @Nullable Path tokenFile;

	@Option(names = "--settings", paramLabel = "FILE", scope = ScopeType.INHERIT,
			description = "Settings file with entries, token and timeout, in JSON with comments.")
	private @Nullable Path settingsFile;

	@Option(names = "--timeout", paramLabel = "SECONDS", scope = ScopeType.INHERIT, defaultValue = "10",
			description = "Timeout of a call in seconds. Default: ${DEFAULT-VALUE}.")
	private int timeoutSeconds;

	Either<String, OperatorSettings> resolve(Map<String, String> environment) {
		if (this.settingsFile != null) {
			return SettingsFile.operator(this.settingsFile).mapLeft((faults) -> faults.describe());
		}
		List<URI> entries = new ArrayList<>(this.servers);
		if (entries.isEmpty()) {
			for (String server : environment.getOrDefault(SERVER_VARIABLE, "").split(",")) {
				if (!server.isBlank()) {
					entries.add(parse(server.strip()));
				}
			}
		}
		if (entries.isEmpty()) {
			return Either.left("no entry specified: use --server, --settings or $" + SERVER_VARIABLE);
		}
		if (entries.stream().anyMatch((entry) -> !"http".equals(entry.getScheme()) || entry.getHost() == null)) {
			return Either.left("the address of an entry must have the form http://HOST:PORT");
		}
		return token(environment)
			.map((token) -> new OperatorSettings(entries, token, Duration.ofSeconds(Math.max(1, this.timeoutSeconds))));
	}

	// An address that cannot be parsed becomes an empty URI. It has no host, so resolve
	// refuses it.
	private static URI parse(String server) {
		try {
			return new URI(server);
		}
		catch (URISyntaxException ex) {
			return URI.create("");
		}
	}

	private Either<String, Secret> token(Map<String, String> environment) {
		if (this.tokenFile == null) {
			String token = environment.get(TOKEN_VARIABLE);
			return (token != null) ? Either.right(new Secret(token))
					: Either.left("no bearer token specified: use --token-file, --settings or $" + TOKEN_VARIABLE);
		}
		try {
			return Either.right(new Secret(Files.readString(this.tokenFile).strip()));
		}
		catch (IOException ex) {
			return Either.left("the token file " + this.tokenFile + " cannot be read");
		}
	}

}

# Sourced by the scripts beside it: builds once if need be and starts a main class.
home=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)

common_flags=(
	-XX:+ExitOnOutOfMemoryError
	-Djava.awt.headless=true
	-Dio.netty.tryReflectionSetAccessible=true
	--add-opens=java.base/java.lang=ALL-UNNAMED
	--add-opens=java.base/java.nio=ALL-UNNAMED
	--add-opens=java.base/jdk.internal.misc=ALL-UNNAMED
)

up_to_date() {
	local jar
	jar=$(find "$home/target" -maxdepth 1 -name 'crocuspost-*.jar' 2>/dev/null | head -n 1)
	[ -n "$jar" ] && [ -d "$home/target/lib" ] &&
		[ -z "$(find "$home/src/main" "$home/pom.xml" -newer "$jar" -print -quit)" ]
}

build() {
	mkdir -p "$home/target"
	exec 8>"$home/target/.build.lock"
	flock 8
	if ! up_to_date; then
		echo "building crocuspost, which happens once" >&2
		rm -rf "$home/target/lib"
		(cd "$home" && mvn -B -ntp -q -DskipTests package) >&2
		touch "$home"/target/crocuspost-*.jar
	fi
	exec 8>&-
}

if [ -d "$home/lib" ]; then
	class_path="$home/lib/*"
else
	up_to_date || build
	class_path="$(ls "$home"/target/crocuspost-*.jar | head -n 1):$home/target/lib/*"
fi

# launch MAIN_CLASS ARGUMENT...: replaces the shell by the JVM with role_flags.
launch() {
	exec java "${common_flags[@]}" "${role_flags[@]}" -cp "$class_path" "$@"
}

#!/usr/bin/env bash
# Plays a case: run-case.sh NAME FOLDER. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -u
name=$1
folder=$(cd "$2" && pwd)
root=$(cd "$folder/../.." && pwd)
if [ ! -e "$root/target/crocuspost.jar" ] || [ ! -e "$root/target/review-2/Main.class" ]; then
	echo "run bin/build-hosted and review/build-2.sh first" >&2
	exit 2
fi
timeout -k 3 110 java -Xmx256m -cp "$root/target/review-2:$root/target/crocuspost.jar" Main "$name" "$root" "$folder"
case $? in
	0) exit 0 ;;
	10) exit 1 ;;
	*) exit 2 ;;
esac

#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out.
set -u
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.."
if [ ! -f target/crocuspost.jar ] || [ ! -f review/out/CheckpointText.class ]; then
	echo "build the deploy file, then run review/build.sh" >&2
	exit 2
fi
timeout -k 3 115 java -Xmx512m -Dsun.net.httpserver.nodelay=true -Djdk.httpclient.allowRestrictedHeaders=host \
	-cp "review/out:target/lib/*" CheckpointText "$folder"
code=$?
case $code in
0) exit 0 ;;
10) exit 1 ;;
*) exit 2 ;;
esac

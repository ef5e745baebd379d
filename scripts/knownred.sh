# Functions that read KNOWN-RED.txt, the list of tests that fail because of a known
# fault. The script that sources this file must run in the root folder of the
# repository.

known_red=KNOWN-RED.txt

# check_known_red fails with a message for each line that is no entry: a line that is
# neither empty nor a comment must begin with the name of one test and a colon.
check_known_red() {
	awk -v file="$known_red" '
		/^#/ || /^[ \t]*$/ { next }
		/^(Test|Example|Fuzz)[A-Za-z0-9_]*:/ { next }
		{
			printf "%s:%d: entry does not begin with the name of a test and a colon: %s\n", file, NR, $0
			bad = 1
		}
		END { exit bad }' "$known_red" >&2 || return 1
	for name in $(known_red_names); do
		# Go passes over tests by name in all packages, so a second test of the name
		# would be passed over too.
		count=$(grep -rhE --include='*_test.go' "^func $name\(" . | wc -l)
		if [ "$count" -ne 1 ]; then
			echo "$known_red: $name is the name of $count tests, want 1" >&2
			return 1
		fi
	done
}

known_red_entries() { awk '!/^#/ && !/^[ \t]*$/' "$known_red"; }

known_red_names() { known_red_entries | sed 's/:.*//'; }

# known_red_pattern prints the pattern that matches exactly the listed tests, or
# nothing if none is listed.
known_red_pattern() {
	names=$(known_red_names | paste -sd '|' -)
	if [ -n "$names" ]; then
		echo "^($names)\$"
	fi
}

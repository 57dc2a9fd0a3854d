//! Problems of single values (types, units, ranges, names, addresses, statuses), each alone in an otherwise valid file.

mod common;

use common::check;

#[test]
fn wrong_types_units_and_ranges_are_reported() {
    check(&[
        (
            "max_attempts = 3",
            "max_attempts = 99",
            (12, 16),
            "limits.max_attempts: `99` is out of range",
            "expected a whole number from 1 to 16",
        ),
        (
            "max_attempts = 3",
            "max_attempts = -1",
            (12, 16),
            "limits.max_attempts: `-1` is out of range",
            "expected a whole",
        ),
        (
            "max_attempts = 3",
            "max_attempts = 99999999999999999999",
            (12, 16),
            "limits.max_attempts: `9999",
            "expected a whole",
        ),
        (
            "max_attempts = 3",
            "max_attempts = 3.0",
            (12, 16),
            "limits.max_attempts: a number is not allowed here",
            "expected a whole",
        ),
        (
            "max_attempts = 3",
            "max_attempts = \"3\"",
            (12, 16),
            "limits.max_attempts: text is not allowed here",
            "expected a whole",
        ),
        (
            "cancel = true",
            "cancel = 1",
            (15, 10),
            "limits.cancel: a whole number is not allowed here",
            "expected true or false",
        ),
        ("\"1ms\"", "1", (13, 8), "limits.tick: a time has a unit", "expected a time from 100us to 1s"),
        ("\"1ms\"", "\"1\"", (13, 8), "limits.tick: `1` is not a valid time", "expected a time"),
        (
            "\"1ms\"",
            "\"1 fortnight\"",
            (13, 8),
            "limits.tick: `1 fortnight` is not a valid time",
            "expected a time",
        ),
        ("\"1ms\"", "\"1h\"", (13, 8), "limits.tick: `1h` is out of range", "expected a time"),
        (
            "\"1ms\"",
            "\"100500ns\"",
            (13, 8),
            "limits.tick: `100500ns` is finer than a microsecond",
            "expected a time",
        ),
        ("\"1ms\"", "\"-1ms\"", (13, 8), "limits.tick: `-1ms` is not a valid time", "expected a time"),
        (
            "\"64KiB\"",
            "\"65KiB\"",
            (14, 12),
            "limits.max_body: `65KiB` is out of range",
            "expected a size from 1KiB to 64KiB",
        ),
        ("\"64KiB\"", "\"6e4B\"", (14, 12), "limits.max_body: `6e4B` is not a valid size", "expected a size"),
        ("\"64KiB\"", "65536", (14, 12), "limits.max_body: a size has a unit", "expected a size"),
        ("0.3", "1.01", (17, 13), "rules.cold_from: `1.01` is out of range", "expected a number from 0 to 1"),
        ("0.3", "nan", (17, 13), "rules.cold_from: `nan` is out of range", "expected a number"),
        ("180.0", "0", (36, 9), "tenant.quota: `0` is out of range", "expected a number above 0"),
        ("180.0", "inf", (36, 9), "tenant.quota: `inf` is out of range", "expected a number above 0"),
        (
            "cores = 4",
            "cores = 0",
            (39, 105),
            "pool.boxes.cores: `0` is out of range",
            "expected a whole number from 1 to 4096",
        ),
        (
            "effect = \"keyed\"",
            "effect = \"keyd\"",
            (31, 10),
            "class.effect: `keyd` is not one of the allowed values",
            "expected \"safe\", \"keyed\" or \"unsafe\"",
        ),
        (
            "\"8c1f\"",
            "\"8c1f30d27a5be964a\"",
            (6, 8),
            "proxy.seed: `8c1f30d27a5be964a` is not a hexadecimal number of 1 to 16 digits",
            "expected up to 16 hex",
        ),
        ("\"8c1f\"", "\"+8c1f\"", (6, 8), "proxy.seed:", "expected up to 16 hex"),
        ("zone = \"east\"", "zone = 1979-05-27", (3, 8), "proxy.zone: a date", "expected a name"),
        (
            "class = { path = 1 }",
            "class = { path = 0 }",
            (21, 18),
            "request.class.path: `0` is out of range",
            "expected a whole number from 1",
        ),
        (
            "class = { path = 1 }",
            "class = 1",
            (21, 9),
            "request.class: a whole number is not allowed here",
            "expected { path = N }",
        ),
        (
            "class = { path = 1 }",
            "class = { path = 1, header = \"a\" }",
            (21, 9),
            "request.class: `path` and `header` are both given",
            "expected { path",
        ),
        (
            "class = { path = 1 }",
            "class = {}",
            (21, 9),
            "request.class: neither `path` nor `header` is given",
            "expected { path",
        ),
        (
            "[[tenant]]",
            "[tenant]",
            (34, 1),
            "[[tenant]]: a table is not allowed here",
            "expected [[tenant]] before each",
        ),
        ("[goal]", "[[goal]]", (18, 1), "[goal]: a list is not allowed here", "expected [goal] once"),
    ]);
}

#[test]
fn invalid_names_and_words_are_reported() {
    check(&[
        ("\"quay-1\"", "\"\"", (2, 8), "proxy.name: a name may not be empty", "expected a name of 1 to 64"),
        ("\"quay-1\"", "\"quay 1\"", (2, 8), "proxy.name: `quay 1` is not a valid name", "expected a name"),
        ("\"quay-1\"", "\"kä\"", (2, 8), "proxy.name: `kä` is not a valid name", "expected a name"),
        (
            "\"quay-1\"",
            "\"aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\"",
            (2, 8),
            "proxy.name: the name",
            "expected a name",
        ),
        // The tenant with the invalid name still exists for the route that refers to it.
        (
            "name = \"milford\"",
            "name = \"milford \"",
            (35, 8),
            "tenant.name: `milford ` is not a valid name",
            "expected a name",
        ),
        (
            "\"X-Id\"",
            "\"X Id\"",
            (23, 6),
            "request.id: `X Id` is not a valid header name",
            "expected a header name",
        ),
        (
            "\"X-Kind\"",
            "\"X:Kind\"",
            (54, 19),
            "route.header.name: `X:Kind` is not a valid header name",
            "expected",
        ),
        (
            "value = \"eu\"",
            "value = \" eu\"",
            (54, 37),
            "route.header.value: ` eu` is not a valid header value",
            "expected visible",
        ),
        (
            "value = \"eu\"",
            "value = \"e\\nu\"",
            (54, 37),
            "route.header.value: `e␊u` is not a valid header value",
            "expected visible",
        ),
        (
            "\"/eu\"",
            "\"eu\"",
            (52, 8),
            "route.path: `eu` is not a valid path prefix",
            "expected a path that begins with `/`",
        ),
        ("\"/eu\"", "\"/eu?a\"", (52, 8), "route.path:", "expected a path"),
        ("\"/eu\"", "\"//eu\"", (52, 8), "route.path:", "expected a path"),
        (
            "\"POST\"",
            "\"post\"",
            (53, 10),
            "route.method: `post` is not a valid method",
            "expected a method in capital letters",
        ),
        ("[\"GET\"]", "[]", (28, 11), "class.methods: this list is empty", "expected a method"),
        (
            "[\"GET\"]",
            "[\"GET\", \"GET\"]",
            (28, 19),
            "class.methods: duplicate value",
            "expected each value once",
        ),
        ("bay = 7", "bay = []", (58, 7), "route.bay: this list is empty", "expected a bay"),
        (
            "bay = 1,",
            "bay = -1,",
            (39, 94),
            "pool.boxes.bay: `-1` is out of range",
            "expected a whole number, or a name",
        ),
    ]);
}

#[test]
fn invalid_addresses_are_reported() {
    check(&[
        (
            "127.0.0.1:8081",
            "localhost:8081",
            (10, 11),
            "listener.address: `localhost:8081` is not an IP address",
            "expected an IP",
        ),
        (
            "127.0.0.1:8081",
            "127.0.0.1",
            (10, 11),
            "listener.address: `127.0.0.1` is not an IP address",
            "expected an IP",
        ),
        (
            "127.0.0.1:8081",
            "127.0.0.1:0",
            (10, 11),
            "listener.address: `127.0.0.1:0` has port 0",
            "expected an IP",
        ),
        ("127.0.0.1:8081", "127.0.0.1:65536", (10, 11), "listener.address:", "expected an IP"),
        (
            "127.0.0.1:8081",
            "127.0.0.1:8080",
            (10, 11),
            "listener.address: 127.0.0.1:8080 conflicts with another listener",
            "expected another",
        ),
        (
            "127.0.0.1:8081",
            "0.0.0.0:8080",
            (10, 11),
            "listener.address: 0.0.0.0:8080 conflicts with another listener",
            "expected another",
        ),
        (
            "127.0.0.1:8081",
            "[::ffff:127.0.0.1]:8080",
            (10, 11),
            "listener.address: 127.0.0.1:8080 conflicts with another listener",
            "expected another",
        ),
        (
            "\"127.0.0.1:9001\"",
            "\"127.0.0.1:9002\"",
            (39, 40),
            "pool.boxes: the address 127.0.0.1:9002 occurs twice",
            "expected each backend once",
        ),
        (
            "discovery = \"127.0.0.1:8500\"\nmust_ask_within = \"9s\"",
            "boxes = [\"127.0.0.1:9001\"]",
            (42, 10),
            "pool.boxes: the address 127.0.0.1:9001 occurs twice",
            "expected each backend once",
        ),
        (
            "\"127.0.0.1:9001\"",
            "\"127.0.0.1:8080\"",
            (39, 10),
            "pool.boxes: 127.0.0.1:8080 is this proxy itself",
            "expected another",
        ),
        (
            "\"127.0.0.1:9001\"",
            "\"0.0.0.0:9001\"",
            (39, 10),
            "pool.boxes: 0.0.0.0 cannot be connected to",
            "expected a list",
        ),
        (
            "\"127.0.0.1:9001\"",
            "9001",
            (39, 10),
            "pool.boxes: a whole number is not allowed here",
            "expected a list",
        ),
        (
            "address = \"127.0.0.1:9002\", ",
            "",
            (39, 28),
            "pool.boxes.address is missing",
            "expected `address`: an IP",
        ),
    ]);
}

#[test]
fn invalid_response_rules_are_reported() {
    check(&[
        (
            "404]",
            "199]",
            (45, 22),
            "answers.served: `199` is out of range",
            "expected a list of statuses from 200 to 599",
        ),
        ("404]", "503]", (45, 22), "answers.served: 503 tells a client", "expected it under never_ran"),
        (
            "404]",
            "\"400-499\"]",
            (45, 22),
            "answers.served: 429 tells a client",
            "expected it under never_ran",
        ),
        ("404]", "600]", (45, 22), "answers.served: `600` is out of range", "expected a list"),
        ("404]", "\"200-600\"]", (45, 22), "answers.served: `200-600` is out of range", "expected a list"),
        (
            "404]",
            "\"299-200\"]",
            (45, 22),
            "answers.served: `299-200` goes from high to low",
            "expected a list",
        ),
        ("404]", "\"2xx\"]", (45, 22), "answers.served: `2xx` is not a valid range", "expected a list"),
        ("404]", "99999999]", (45, 22), "answers.served: `99999999` is out of range", "expected a list"),
        ("[\"200-299\", 404]", "[]", (45, 10), "answers.served: this list is empty", "expected a list"),
        (
            "status = 503",
            "status = 50",
            (46, 25),
            "answers.never_ran.status: `50` is out of range",
            "expected a whole number from 200",
        ),
        (
            "header = \"X-Un\", ",
            "",
            (46, 14),
            "answers.never_ran.header is missing",
            "expected `header`: a header name",
        ),
        (
            "[{ status = 503, header = \"X-Un\", value = \"1\" }]",
            "[503]",
            (46, 14),
            "answers.never_ran: a whole number is not allowed here",
            "expected a list such as",
        ),
        (
            "\"own_words\"",
            "\"own_word\"",
            (47, 10),
            "answers.errors: `own_word` is not one of the allowed values",
            "expected \"as_they_are\" or",
        ),
    ]);
}

# jackdawladder
#
#   make            build the daemon and the tool
#   make check      install missing packages, build, run all tests
#   make demo       a small three-zone site under load
#   make bench      print benchmark figures, without pass or fail
#   make soak       random runs with fresh seeds for SECONDS=60
#   make lint       formatter and linter
#
# Variables: SANITIZE=address,undefined or SANITIZE=thread builds with
# sanitizers, TEST_HOOKS=1 builds the test hooks, and BUILD=directory sets the
# output directory.

CC ?= gcc
BUILD ?= build
PACKAGES = glib-2.0 json-c libcurl libuv libtirpc liburcu-memb liburcu-cds libxxhash
CPPFLAGS += -Iinclude -Isource -Iplatform -Itests -D_GNU_SOURCE
CFLAGS ?= -O2 -g
CFLAGS += -std=gnu11 -Wall -Wextra -Wshadow -Wstrict-prototypes -pthread
ifdef SANITIZE
CFLAGS += -fsanitize=$(SANITIZE) -fno-omit-frame-pointer
LDFLAGS += -fsanitize=$(SANITIZE)
endif
ifdef TEST_HOOKS
CPPFLAGS += -DJL_TEST_HOOKS
endif
# Evaluated when a rule first uses them, so that "make install-packages" works
# before the packages are installed.
PKG_CFLAGS = $(eval PKG_CFLAGS := $$(shell pkg-config --cflags $(PACKAGES)))$(PKG_CFLAGS)
PKG_LIBS = $(eval PKG_LIBS := $$(shell pkg-config --libs $(PACKAGES)))$(PKG_LIBS)
LIBS = -lcivetweb $(PKG_LIBS) -pthread -lm

# The proxy must be small, so it links only the libraries and sources it uses.
PROXY_PACKAGES = glib-2.0 json-c libuv libtirpc libxxhash
PROXY_CFLAGS = $(eval PROXY_CFLAGS := $$(shell pkg-config --cflags $(PROXY_PACKAGES)))$(PROXY_CFLAGS)
PROXY_LIBS = $(eval PROXY_LIBS := $$(shell pkg-config --libs $(PROXY_PACKAGES)))$(PROXY_LIBS)
PROXY_AREAS = net proxy policy
PROXY_SHARED = source/base/base.c source/base/record.c source/core/timer.c \
  source/config/reader.c source/config/strict.c source/rpc/gen/beacon_xdr.c
PROXY_SOURCES = $(filter-out source/proxy/main.c,$(foreach area,$(PROXY_AREAS),$(wildcard source/$(area)/*.c))) \
  $(wildcard platform/*.c) $(PROXY_SHARED)
# Decisions of the proxy that the older program uses too.
LIB_SHARED = source/policy/suspect.c source/policy/suspect-record.c
LIB_SOURCES = $(filter-out %/main.c source/tool/%,$(filter-out $(PROXY_AREAS:%=source/%/%),$(wildcard source/*/*.c source/rpc/gen/*.c))) \
  $(LIB_SHARED)
TOOL_SOURCES = $(wildcard source/tool/*.c)
STANDIN_SOURCES = $(wildcard tests/standins/*.c)
STANDIN_PARTS = $(wildcard tests/standins/parts/*.c)
TEST_SOURCES = $(wildcard tests/unit/*.c)
UNIT_PARTS = $(wildcard tests/unit/parts/*.c)
RANDOM_SOURCES = $(wildcard tests/random/*.c)
SCRIPTED_SOURCES = $(wildcard tests/scripted/*.c)
SUPPORT_SOURCES = $(wildcard tests/support/*.c)
FUZZ_SOURCES = $(wildcard tests/fuzz/*.c)
PROXY_TESTS = $(wildcard tests/proxy/*.c)
PROXY_PARTS = $(wildcard tests/proxy/parts/*.c)
BENCH_SOURCES = $(wildcard tests/bench/*.c)

OBJECT = $(patsubst %.c,$(BUILD)/%.o,$(1))
LIBRARY = $(BUILD)/libjackdawladder.a
STANDINS = $(patsubst tests/standins/%.c,$(BUILD)/standins/%,$(filter-out %/common.c,$(STANDIN_SOURCES)))
UNITS = $(patsubst tests/unit/%.c,$(BUILD)/unit/%,$(TEST_SOURCES)) \
  $(patsubst tests/proxy/%.c,$(BUILD)/unit/proxy-%,$(PROXY_TESTS))
RANDOM = $(if $(RANDOM_SOURCES),$(BUILD)/random-run)
SCRIPTED = $(if $(SCRIPTED_SOURCES),$(BUILD)/scripted-run)
BENCHES = $(patsubst tests/bench/%.c,$(BUILD)/bench/%,$(BENCH_SOURCES))
FUZZ = $(patsubst tests/fuzz/%.c,$(BUILD)/fuzz/%,$(FUZZ_SOURCES))

all: $(BUILD)/jackdawladderd $(BUILD)/jackdawladder proxy

proxy: $(BUILD)/jackdawladder-proxy

tests: all $(STANDINS) $(UNITS) $(RANDOM) $(SCRIPTED)

standins: $(STANDINS)

benches: $(BENCHES)

# The fuzzers need CC=clang, SANITIZE=fuzzer,address and a separate BUILD.
fuzzers: $(FUZZ)

$(BUILD)/%.o: %.c
	@mkdir -p $(@D)
	$(CC) $(CPPFLAGS) $(CFLAGS) $(PKG_CFLAGS) -MMD -MP -c $< -o $@

# Warnings are disabled for sources that rpcgen generates.
$(BUILD)/source/rpc/gen/%.o: CFLAGS += -w

$(LIBRARY): $(call OBJECT,$(LIB_SOURCES))
	rm -f $@
	ar rcs $@ $^

$(BUILD)/jackdawladderd: $(BUILD)/source/daemon/main.o $(LIBRARY)
	$(CC) $(LDFLAGS) $^ $(LIBS) -o $@

PROXY_OBJECTS = $(call OBJECT,$(PROXY_SOURCES))

$(PROXY_OBJECTS) $(BUILD)/source/proxy/main.o: PKG_CFLAGS = $(PROXY_CFLAGS)
$(PROXY_OBJECTS) $(BUILD)/source/proxy/main.o: | require-packages

$(BUILD)/jackdawladder-proxy: $(BUILD)/source/proxy/main.o $(PROXY_OBJECTS)
	$(CC) $(LDFLAGS) $^ -lhttp_parser $(PROXY_LIBS) -pthread -lm -o $@

$(BUILD)/jackdawladder: $(call OBJECT,$(TOOL_SOURCES)) $(LIBRARY)
	$(CC) $(LDFLAGS) $^ $(LIBS) -o $@

$(BUILD)/standins/%: $(BUILD)/tests/standins/%.o $(call OBJECT,$(filter %/common.c,$(STANDIN_SOURCES)) $(STANDIN_PARTS)) $(LIBRARY)
	@mkdir -p $(@D)
	$(CC) $(LDFLAGS) $^ $(LIBS) -o $@

$(BUILD)/unit/proxy-%: $(BUILD)/tests/proxy/%.o $(call OBJECT,$(PROXY_PARTS)) $(PROXY_OBJECTS)
	@mkdir -p $(@D)
	$(CC) $(LDFLAGS) $^ -lcriterion -lhttp_parser $(PROXY_LIBS) -pthread -lm -o $@

$(BUILD)/unit/%: $(BUILD)/tests/unit/%.o $(call OBJECT,$(SUPPORT_SOURCES) $(UNIT_PARTS)) $(LIBRARY)
	@mkdir -p $(@D)
	$(CC) $(LDFLAGS) $^ -lcriterion $(LIBS) -o $@

$(BUILD)/bench/%: $(BUILD)/tests/bench/%.o $(call OBJECT,$(SUPPORT_SOURCES)) $(LIBRARY)
	@mkdir -p $(@D)
	$(CC) $(LDFLAGS) $^ $(LIBS) -o $@

$(BUILD)/random-run: $(call OBJECT,$(RANDOM_SOURCES) $(SUPPORT_SOURCES)) $(LIBRARY)
	$(CC) $(LDFLAGS) $^ $(LIBS) -o $@

$(BUILD)/scripted-run: $(call OBJECT,$(SCRIPTED_SOURCES) $(SUPPORT_SOURCES)) $(LIBRARY)
	$(CC) $(LDFLAGS) $^ $(LIBS) -o $@

$(BUILD)/fuzz/http: $(BUILD)/tests/fuzz/http.o $(call OBJECT,$(wildcard source/net/*.c)) $(LIBRARY)
	@mkdir -p $(@D)
	$(CC) $(LDFLAGS) $^ -lhttp_parser $(LIBS) -o $@

$(BUILD)/fuzz/%: $(BUILD)/tests/fuzz/%.o $(LIBRARY)
	@mkdir -p $(@D)
	$(CC) $(LDFLAGS) $^ $(LIBS) -o $@

install-packages:
	scripts/install-packages

# Compiler errors would not say what is missing.
require-packages:
	@pkg-config --exists --print-errors $(PROXY_PACKAGES) || \
	  { echo "packages are missing: run \"make install-packages\" first" >&2; exit 1; }

check: install-packages
	scripts/check

demo: install-packages
	scripts/demo

bench: install-packages
	scripts/bench

# Like all tests, the random runs need TEST_HOOKS=1.
soak: $(RANDOM)
	BUILD=$(BUILD) scripts/soak $(or $(SECONDS),60)

format:
	scripts/lint --fix

lint:
	scripts/lint

clean:
	rm -rf $(BUILD) out


.PHONY: all proxy tests standins benches fuzzers install-packages require-packages check demo bench soak format lint clean
.SECONDARY:

-include $(shell find $(BUILD) -name '*.d' 2>/dev/null)

"""Measures CPU time, memory, traffic and configuration propagation times of nodes, and fits linear models to the results.

Each run appends one line of JSON to the file of --output. A run measures and ends only processes that it started.
"""
import argparse
import hashlib
import http.client
import json
import os
import re
import signal
import statistics
import subprocess
import sys
import tempfile
import time
from datetime import datetime

KEY = "capacity-key"
ANY = "127.0.0.1:0"


class Process:
    def __init__(self, name, arguments, directory):
        self.name = name
        self.path = os.path.join(directory, name + ".log")
        with open(self.path, "w") as log:
            self.process = subprocess.Popen(arguments, stdout=log, stderr=log)

    def log(self):
        with open(self.path) as log:
            return log.read()

    def endpoints(self, interface, count=1):
        pattern = re.compile(r"event=listening interface=%s .*?endpoint=([0-9.:]+)" % interface)
        for _ in range(1200):
            found = pattern.findall(self.log())
            if len(found) >= count:
                return found
            time.sleep(0.05)
        raise RuntimeError(self.name + " does not listen on " + interface + "\n" + self.log()[-2000:])

    def cpu_seconds(self):
        with open("/proc/%d/stat" % self.process.pid) as stat:
            fields = stat.read().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def resident_bytes(self):
        with open("/proc/%d/statm" % self.process.pid) as statm:
            return int(statm.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")


def call(endpoint, method, target, body=None, headers=None):
    connection = http.client.HTTPConnection(endpoint, timeout=20)
    headers = dict(headers or {})
    if body is not None:
        headers["Content-Type"] = "application/json"
    connection.request(method, target, body, headers)
    response = connection.getresponse()
    text = response.read()
    connection.close()
    return response.status, text


class Deployment:
    def __init__(self, options):
        self.options = options
        self.directory = tempfile.mkdtemp(prefix="capacity-")
        self.processes = []
        self.nodes = []

    def __enter__(self):
        try:
            self.start()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(self, *ignored):
        self.stop()

    def stop(self):
        for process in self.processes:
            process.process.send_signal(signal.SIGKILL)
        for process in self.processes:
            process.process.wait()
        for process in self.processes:
            os.unlink(process.path)

    def run(self, name, *arguments):
        process = Process(name, list(arguments), self.directory)
        self.processes.append(process)
        return process

    def binary(self, path):
        return os.path.join(self.options.build, path)

    def start(self):
        options = self.options
        stand_in = self.binary("Tests/StandIns/hyssopstep-stand-in")
        self.platform_process = self.run("platform", stand_in, "platform", "--listen=" + ANY)
        self.platform = self.platform_process.endpoints("platform")[0]
        self.engine_process = self.run("engines", stand_in, "engine", "--listen=" + ANY, "--count=%d" % options.servers,
                                       "--slots=64", "--step_base_us=4000", "--step_sequence_us=50", "--prefill_token_us=2")
        self.engines = self.engine_process.endpoints("engine", options.servers)
        centres = ["dc%d" % (index + 1) for index in range(options.data_centres)]
        services = ["model%d" % (index + 1) for index in range(options.services)]
        hosts = []
        for index, endpoint in enumerate(self.engines):
            centre = centres[index % len(centres)]
            service = services[(index // len(centres)) % len(services)]
            hosts.append({"id": "server-%s-%04d" % (centre, index), "role": "backend", "endpoint": endpoint, "service": service, "version": "v1",
                          "dataCentre": centre, "zone": centre + "-a", "machineClass": "accelerator-small", "reclaimable": True, "state": "live", "incarnation": 1})
        call(self.platform, "PUT", "/stand-in/hosts", json.dumps({"hosts": hosts}))
        seeds = []
        for index in range(options.nodes):
            centre = centres[index % len(centres)]
            name = "node-%s-%03d" % (centre, index)
            node = self.run(name, self.binary("Utilities/Hyssopstep/hyssopstep"), "node", "--node_id=" + name, "--data_centre=" + centre, "--region=capacity",
                            "--platform=" + self.platform, "--client_listen=" + ANY, "--operator_listen=" + ANY, "--peer_listen=" + ANY, "--seeds=" + ",".join(seeds[:8]))
            if len(seeds) < 8:
                seeds.append(node.endpoints("peer")[0])
            self.nodes.append(node)
        for node in self.nodes:
            node.client = node.endpoints("client")[0]
            node.operator = node.endpoints("operator")[0]
        self.write_configuration(services)
        self.apply()
        self.wait_for_readiness(len(hosts))

    def write_configuration(self, services):
        digest = hashlib.sha256(KEY.encode()).hexdigest()
        self.configuration = os.path.join(self.directory, "configuration")
        os.makedirs(self.configuration, exist_ok=True)
        with open(os.path.join(self.configuration, "state.yaml"), "w") as state:
            state.write("services:\n")
            for service in services:
                state.write("  - { name: %s, kind: model, versions: [ { name: v1, weights: w, weight: 1 } ], maximumServers: 1000 }\n" % service)
            state.write("teams:\n")
            for team in range(self.options.teams):
                key = digest if team == 0 else hashlib.sha256(b"team%d" % team).hexdigest()
                state.write("  - { name: team%d, keyDigests: [ %s ], services: [ %s ] }\n" % (team, key, ", ".join(services)))

    # Returns the seconds from the acceptance of the apply until the last node logs that the generation is in force.
    def apply(self):
        operators = ",".join(node.operator for node in self.nodes)
        subprocess.run([self.binary("Utilities/Hyssopstep/hyssopstep"), "apply", "-f", self.configuration, "--operator=" + operators, "--author=capacity", "--yes"],
                       check=True, stdout=subprocess.DEVNULL)
        accepted = self.event_times("configuration_applied")[-1]
        generation = len(self.event_times("configuration_applied"))
        for _ in range(600):
            reached = [re.search(r"time=(\S+) .*event=configuration_in_force generation=%d " % generation, node.log()) for node in self.nodes]
            if all(reached):
                return max(datetime.fromisoformat(match.group(1)).timestamp() for match in reached) - accepted
            time.sleep(0.05)
        raise RuntimeError("generation %d was not in force on all nodes in time" % generation)

    # Adds a team and applies the configuration. Returns the seconds as apply() does.
    def apply_with_added_team(self):
        self.options.teams += 1
        self.write_configuration(["model%d" % (number + 1) for number in range(self.options.services)])
        return self.apply()

    def event_times(self, event):
        found = []
        for node in self.nodes:
            found += [datetime.fromisoformat(text).timestamp() for text in re.findall(r"time=(\S+) .*event=%s " % event, node.log())]
        return sorted(found)

    def status(self, node):
        return json.loads(call(node.operator, "GET", "/operator/status")[1])

    def wait_for_readiness(self, servers):
        for node in self.nodes:
            for _ in range(600):
                status = self.status(node)
                if status["phase"] == "serving" and len(status["servers"]) == servers and len(status["nodes"]) == len(self.nodes):
                    break
                time.sleep(0.1)
            else:
                raise RuntimeError(node.name + " did not discover all nodes and servers")

    def platform_calls(self):
        return json.loads(call(self.platform, "GET", "/stand-in/record?after=1000000000")[1])["calls"]

    def traffic(self, node):
        text = call(node.operator, "GET", "/metrics")[1].decode()
        found = re.findall(r'^hyssopstep_traffic_(bytes|calls)\{channel="(\w+)"(?:,direction="(\w+)")?\} (\S+)$', text, re.M)
        return {channel + "_" + (direction or unit): float(value) for unit, channel, direction, value in found}

    # Measures all nodes for at least `seconds` and until `work` returns.
    def measure(self, seconds, work=None):
        before = [(node.cpu_seconds(), self.traffic(node)) for node in self.nodes]
        calls_before = self.platform_calls()
        started = time.monotonic()
        result = work() if work else None
        time.sleep(max(0, seconds - (time.monotonic() - started)))
        calls_after = self.platform_calls()
        elapsed = time.monotonic() - started
        rows = []
        cpu_after = [node.cpu_seconds() for node in self.nodes]
        for node, (cpu, traffic), cpu_end in zip(self.nodes, before, cpu_after):
            after = self.traffic(node)
            row = {"name": node.name, "relay": self.status(node)["relay"], "cpuMs": (cpu_end - cpu) / elapsed * 1000, "residentMB": node.resident_bytes() / 1e6}
            row.update({name: (value - traffic.get(name, 0)) / elapsed for name, value in after.items()})
            rows.append(row)
        calls = {kind: (count - calls_before.get(kind, 0)) / elapsed for kind, count in calls_after.items()}
        return rows, calls, elapsed, result


# Bytes per call that the metrics of a node leave out: the RPC envelope and the TCP/IP headers of six packets, or the headers of
# four packets on an open HTTP connection.
OVERHEAD_BYTES = {"peer_control_called": 220 + 6 * 52, "peer_control_answered": 220 + 6 * 52, "platform": 4 * 52, "reports": 4 * 52}


def control_bytes(row, channels=tuple(OVERHEAD_BYTES)):
    return sum(row.get(channel + "_sent", 0) + row.get(channel + "_received", 0) + row.get(channel + "_calls", 0) * OVERHEAD_BYTES[channel] for channel in channels)


def mean(values):
    values = list(values)
    return statistics.fmean(values) if values else 0


def summarize(rows):
    result = {}
    for role, role_rows in (("member", [row for row in rows if not row["relay"]]), ("relay", [row for row in rows if row["relay"]])):
        if not role_rows:
            continue
        result[role] = {
            "cpuMs": mean(row["cpuMs"] for row in role_rows),
            "residentMB": mean(row["residentMB"] for row in role_rows),
            "controlBytes": mean(control_bytes(row) for row in role_rows),
            "peerBytes": mean(control_bytes(row, ["peer_control_called", "peer_control_answered"]) for row in role_rows),
            "calls": {channel: mean(row.get(channel + "_calls", 0) for row in role_rows) for channel in OVERHEAD_BYTES},
            "channels": {channel: mean(row.get(channel + "_sent", 0) + row.get(channel + "_received", 0) for row in role_rows)
                         for channel in ("peer_control_called", "peer_control_answered", "peer_requests_called", "peer_requests_answered", "platform", "reports", "backends")},
        }
    return result


def write_result(options, result):
    result["loadAverage"] = os.getloadavg()[0]
    line = json.dumps(result)
    print(line)
    if options.output:
        with open(options.output, "a") as output:
            output.write(line + "\n")


def run_parameters(options):
    local = options.nodes / options.data_centres
    return {**{name: getattr(options, name) for name in ("nodes", "data_centres", "servers", "teams", "services")}, "localNodes": local, "remoteNodes": options.nodes - local}


def run_fleet(options):
    with Deployment(options) as deployment:
        time.sleep(options.settle)
        rows, calls, _, _ = deployment.measure(options.seconds)
        propagation_seconds = [deployment.apply_with_added_team() for _ in range(options.applies)]
        write_result(options, {"run": "fleet", **run_parameters(options), **summarize(rows), "platformCalls": calls, "platformCallsPerSecond": sum(calls.values()),
                               "spreadSeconds": propagation_seconds})


def run_gateway(options):
    with Deployment(options) as deployment:
        time.sleep(options.settle)
        for rate in options.rates:
            for tokens in options.tokens:
                mix = os.path.join(deployment.directory, "mix.yaml")
                with open(mix, "w") as file:
                    file.write("name: capacity\nteams:\n  - { name: team0, key: %s, weight: 1 }\nclasses:\n  - { name: answers, kind: chat, service: model1, teams: [team0], ratePerSecond: %s,"
                               " promptTokens: [%d, %d], answerTokens: [%d, %d], stream: true }\n" % (KEY, rate, options.prompt, options.prompt + 1, tokens, tokens + 1))
                output = os.path.join(deployment.directory, "load.json")

                def work():
                    subprocess.run([deployment.binary("Utilities/Hyssopstep/hyssopstep"), "load", "--mix=" + mix, "--targets=" + deployment.nodes[0].client,
                                    "--duration=%d" % options.seconds, "--drain=60", "--json=" + output], check=False, stdout=subprocess.DEVNULL)
                    with open(output) as file:
                        return json.load(file)

                rows, _, elapsed, load = deployment.measure(options.seconds, work)
                load = select_totals(load)
                write_result(options, {"run": "gateway", **run_parameters(options), "rate": rate, "answerTokens": tokens, "promptTokens": options.prompt,
                                       "requestsPerSecond": load["succeeded"] / elapsed, "tokensPerSecond": load["tokens"] / elapsed,
                                       "gateway": rows[0], "replica": rows[1], "load": load})


def select_totals(load):
    for entry in [load.get("total"), load.get("all")] + list(load.get("classes", [])):
        if isinstance(entry, dict) and "succeeded" in entry:
            return {name: entry.get(name) for name in ("intended", "succeeded", "failures", "openAtEnd", "tokens", "firstToken", "betweenTokens", "total", "sendDelay")}
    raise RuntimeError("the results of hyssopstep load have no totals")


# Returns the times to the first token and to the end of a streamed response, in milliseconds.
def time_response(endpoint, target, body, headers, marker):
    connection = http.client.HTTPConnection(endpoint, timeout=20)
    connection.connect()
    started = time.perf_counter()
    connection.request("POST", target, body, {"Content-Type": "application/json", **headers})
    response = connection.getresponse()
    first = None
    while True:
        line = response.readline()
        if first is None and line.startswith(b"data:") and marker in line:
            first = time.perf_counter()
        if not line:
            break
    ended = time.perf_counter()
    connection.close()
    if response.status != 200 or first is None:
        raise RuntimeError("status %d from %s" % (response.status, endpoint))
    return (first - started) * 1000, (ended - started) * 1000


def run_latency(options):
    with Deployment(options) as deployment:
        time.sleep(options.settle)
        direct, through = [], []
        for index in range(options.requests):
            text = "question %d length=%d" % (index, options.tokens[0])
            attempt = "direct-%d" % index
            body = json.dumps({"requestId": attempt, "attemptId": attempt, "prompt": text.split(), "generated": [], "maxTokens": 1000, "priority": 5, "seed": 1})
            direct.append(time_response(deployment.engines[index % len(deployment.engines)], "/engine/complete", body, {}, b'"token"'))
            body = json.dumps({"model": "model1", "prompt": text, "max_tokens": 1000, "stream": True})
            through.append(time_response(deployment.nodes[index % len(deployment.nodes)].client, "/v1/completions", body, {"Authorization": "Bearer " + KEY}, b'"text"'))
        result = {"run": "latency", **run_parameters(options), "requests": options.requests, "answerTokens": options.tokens[0]}
        for name, values in (("direct", direct), ("through", through)):
            for part, index in (("firstToken", 0), ("total", 1)):
                percentiles = statistics.quantiles([value[index] for value in values], n=100)
                result[name + part.capitalize() + "Ms"] = {"p50": percentiles[49], "p95": percentiles[94], "p99": percentiles[98]}
        write_result(options, result)


def get_field(row, path):
    for part in path.split("."):
        if not isinstance(row, dict) or part not in row:
            return None
        row = row[part]
    return max(row) if isinstance(row, list) else row


# Returns the coefficients of a least-squares fit; solves the normal equations by Gauss-Jordan elimination.
def least_squares(samples, values):
    size = len(samples[0])
    matrix = [[sum(sample[i] * sample[j] for sample in samples) for j in range(size)] + [sum(sample[i] * value for sample, value in zip(samples, values))] for i in range(size)]
    for column in range(size):
        pivot = max(range(column, size), key=lambda row: abs(matrix[row][column]))
        if abs(matrix[pivot][column]) < 1e-9:
            sys.exit("the fit is singular: vary each of the x fields independently")
        matrix[column], matrix[pivot] = matrix[pivot], matrix[column]
        matrix[column] = [entry / matrix[column][column] for entry in matrix[column]]
        for row in range(size):
            if row != column:
                matrix[row] = [entry - matrix[row][column] * other for entry, other in zip(matrix[row], matrix[column])]
    return [row[-1] for row in matrix]


def run_fit(options):
    with open(options.input) as file:
        rows = [json.loads(line) for line in file if line.strip()]
    names = options.x.split(",")
    points = []
    for row in rows:
        point = [get_field(row, name) for name in names] + [get_field(row, options.y)]
        conditions = [condition.split("=") for condition in options.where]
        if None not in point and all(str(get_field(row, name)) == value for name, value in conditions):
            points.append(point)
    if len(points) <= len(names):
        sys.exit("too few matching runs for the fit: %d" % len(points))
    factors = least_squares([[1.0] + point[:-1] for point in points], [point[-1] for point in points])
    average = mean(point[-1] for point in points)
    fitted = [factors[0] + sum(factor * x for factor, x in zip(factors[1:], point[:-1])) for point in points]
    residual = sum((point[-1] - value) ** 2 for point, value in zip(points, fitted))
    total_variation = sum((point[-1] - average) ** 2 for point in points)
    print("%s = %.5g %s   (%d runs, R^2 %.3f)" % (options.y, factors[0], " ".join("%+.5g*%s" % (factor, name) for factor, name in zip(factors[1:], names)),
                                                  len(points), 1 - residual / total_variation if total_variation else 1))
    for point, value in zip(points, fitted):
        print("  %s: measured %.4g, fitted %.4g" % (", ".join("%s=%g" % pair for pair in zip(names, point)), point[-1], value))


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    commands = parser.add_subparsers(dest="command", required=True)
    integers = lambda text: [int(part) for part in text.split(",")]
    for name, run, nodes in (("fleet", run_fleet, 8), ("gateway", run_gateway, 2), ("latency", run_latency, 2)):
        command = commands.add_parser(name)
        command.set_defaults(run=run)
        command.add_argument("--build", default="Build")
        command.add_argument("--output", help="file to append the result to")
        command.add_argument("--nodes", type=int, default=nodes)
        command.add_argument("--data_centres", type=int, default=1)
        command.add_argument("--servers", type=int, default=16)
        command.add_argument("--services", type=int, default=1)
        command.add_argument("--teams", type=int, default=5)
        command.add_argument("--seconds", type=int, default=10, help="duration of one measurement")
        command.add_argument("--settle", type=int, default=5, help="seconds between readiness and the first measurement")
        command.add_argument("--applies", type=int, default=3, help="number of configuration changes to apply after the measurement")
        command.add_argument("--rates", type=integers, default=[5, 20, 40], help="requests per second, separated by commas")
        command.add_argument("--tokens", type=integers, default=[10, 100], help="output lengths in tokens, separated by commas")
        command.add_argument("--prompt", type=int, default=50, help="prompt length in tokens")
        command.add_argument("--requests", type=int, default=300)
    fit = commands.add_parser("fit")
    fit.set_defaults(run=run_fit)
    fit.add_argument("--input", required=True)
    fit.add_argument("--x", required=True, help="explanatory fields, separated by commas, for example nodes,servers")
    fit.add_argument("--y", required=True, help="dependent field, for example member.cpuMs")
    fit.add_argument("--where", action="append", default=[], help="NAME=VALUE condition on the runs to use; may be repeated")
    options = parser.parse_args()
    # Turns SIGTERM into an exit exception, so that the started processes are ended.
    signal.signal(signal.SIGTERM, lambda *ignored: sys.exit(1))
    options.run(options)


main()

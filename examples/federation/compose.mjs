// Composes subgraphs into a supergraph: node compose.mjs reports.graphql clubs.graphql > supergraph.graphql
// Exit code 1 where they do not fit together; each error says why.
import { readFileSync } from "node:fs";
import { basename } from "node:path";
import { parse } from "graphql";
import { composeServices } from "@theguild/federation-composition";

const files = process.argv.slice(2);
const result = composeServices(files.map((file) => ({
  name: basename(file, ".graphql"),
  typeDefs: parse(readFileSync(file, "utf8")),
  url: `http://127.0.0.1/${basename(file, ".graphql")}`,
})));
for (const error of result.errors ?? []) console.error(`${error.extensions?.code ?? "error"}: ${error.message}`);
if (result.supergraphSdl) console.log(result.supergraphSdl);
process.exit(result.errors?.length ? 1 : 0);

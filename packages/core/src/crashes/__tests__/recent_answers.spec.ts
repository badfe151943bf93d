import test from 'ava';
import {MAX_ANSWERED, RecentAnswers} from '../recent_answers.js';

test('an answer speaks for its request for a while', t => {
  const answers = new RecentAnswers();
  answers.note('f', 0);
  t.true(answers.speaksFor('f', 9000));
  t.false(answers.speaksFor('f', 11_000));
  t.false(answers.speaksFor('g', 0));
});

test('the number of requests that are kept is bounded, the last answered stay', t => {
  const answers = new RecentAnswers();
  answers.note('first', 0);
  for (let i = 0; i < MAX_ANSWERED; i++) answers.note(`f${i}`, 1);
  t.false(answers.speaksFor('first', 2));
  t.true(answers.speaksFor('f0', 2));
});
